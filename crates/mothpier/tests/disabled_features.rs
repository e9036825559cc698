//! Features that are switched off open no socket and start no thread, and the deployed operator's file switches all
//! optional ones off.
#![allow(missing_docs)]

mod harness;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use harness::*;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Counts the listening TCP sockets, the UDP sockets and the threads of a process. Connected sockets are left out, as they
/// come and go.
fn sockets_and_threads(id: u32) -> (usize, usize, usize) {
    let inodes: BTreeSet<String> = std::fs::read_dir(format!("/proc/{id}/fd"))
        .unwrap()
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .filter_map(|link| Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    let own = |table: &str, state: &str| {
        let text = std::fs::read_to_string(format!("/proc/{id}/net/{table}")).unwrap();
        let fields = text.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
        fields.filter(|f| f.len() > 9 && f[3] == state && inodes.contains(f[9])).count()
    };
    // Socket states: 0A is a listening TCP socket, 07 an unconnected UDP socket.
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).unwrap().count();
    (own("tcp", "0A"), own("udp", "07"), threads)
}

fn resources_with(name: &str, operator: Option<&str>) -> (usize, usize, usize) {
    let server = serve(read_command, |_| hit("value"));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let mut command = node_command(name, discovery.address, 1024, "");
    // The features need settings in which the node is in a zone.
    let path = scratch_path(&format!("{name}.json"));
    let text =
        std::fs::read_to_string(&path).unwrap().replace(r#""zones":["a"],"#, r#""zones":["a"],"zone":0,"#);
    std::fs::write(&path, text).unwrap();
    command.env_remove("ROUTER_OPERATOR");
    if let Some(text) = operator {
        let file = scratch_path(&format!("{name}.toml"));
        std::fs::write(&file, text).unwrap();
        command.env("ROUTER_OPERATOR", file);
    }
    let node = Node::run(command, &discovery);
    let mut client = node.client();
    assert!(client.ask(&["CACHE.GET", "7f", "9b", "c=read,t=acme,d=4800"]).contains("value"));
    sockets_and_threads(node.child.id())
}

#[test]
fn disabled_features_open_no_socket_and_start_no_thread() {
    let without = resources_with("off-none", None);
    let file = std::fs::read_to_string(root().join("deploy/operator.toml")).unwrap();
    assert!(file.contains("[places]\non = false") && file.contains("[accord]\non = false"));
    assert_eq!(resources_with("off-operator", Some(&file)), without);
    // With the agreement on there is one UDP socket more, and no further thread.
    let free = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let on = format!(
        "[places]\non = true\n[accord]\non = true\nvoters = [0]\nlisten = \"{free}\"\nmembers = [\"{free}\"]"
    );
    assert_eq!(resources_with("off-on", Some(&on)), (without.0, without.1 + 1, without.2));
}

#[test]
fn the_deployed_run_command_uses_the_file_that_disables_all_features() {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let run = deploy.lines().find(|line| line.starts_with("run = ")).unwrap();
    assert!(run.contains("ROUTER_OPERATOR=deploy/operator.toml exec target/release/mothpier"), "{run}");
    assert!(!deploy.contains("places.toml") && !deploy.contains("accord.toml"));
}

#[test]
fn an_invalid_operator_file_ends_the_start_with_file_line_and_key() {
    let cases = [
        (
            "[places]\non = true\n[[places.region]]\nname = \"r\"\nzones = [\"x\"]",
            "line 3: places.region: there is no zone \"x\"",
        ),
        ("[places]\non = true\n[places.figures]\nlost = 7", "line 4: places.figures.lost: 7 is not between"),
        ("[accord]\non = true", "line 2: accord.on: accord.listen is missing"),
        ("[accord.plan]\nscouts = 0", "line 2: accord.plan.scouts: 0 is not between 1 and 20"),
    ];
    for (number, (text, message)) in cases.into_iter().enumerate() {
        let name = format!("off-bad-{number}");
        let file = scratch_path(&format!("{name}.toml"));
        std::fs::write(&file, text).unwrap();
        let mut command = node_command(&name, "127.0.0.1:9".parse().unwrap(), 1024, "");
        let output = command.env("ROUTER_OPERATOR", &file).output().unwrap();
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{log}");
        assert!(log.contains(&format!("{file}: {message}")), "{log}");
    }
}

#[test]
fn without_zone_steering_the_operations_endpoint_has_no_calls_for_it() {
    let server = serve(read_command, |_| hit("value"));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let mut command = node_command("off-staff", discovery.address, 1024, "");
    command.env("ROUTER_OPS", "127.0.0.1:0").env("ROUTER_OPERATOR", root().join("deploy/operator.toml"));
    let node = Node::run(command, &discovery);
    node.wait_until_ready();
    for line in ["GET /places", "PUT /places/hold?zone=a&how=out&for_s=60", "PUT /places/release?zone=a"] {
        let answer = node.call(line);
        assert!(answer.starts_with("HTTP/1.1 404 "), "{line}: {answer}");
        assert!(
            answer.ends_with("\r\nGET /ready, GET /metrics, PUT /drain, PUT /undrain\n"),
            "{line}: {answer}"
        );
    }
}
