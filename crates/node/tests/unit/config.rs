use super::*;

/// A file with every known key.
const COMPLETE_FILE: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{},
"ops":"127.0.0.1:3","peer_listen":"127.0.0.1:4","peers":["127.0.0.1:4"],"peers_all":"127.0.0.1:5",
"known":{"revision":1,"complete":true,"members":[]},
"settings":{"classes":[{"name":"read","deadlineUs":1,"goalTimeUs":1,"effect":"pure"}],"realms":[],"zones":["a"],
"machineTypes":["m"]}}"#;

fn warnings_of(text: &str) -> Vec<String> {
    read(text.as_bytes(), Environment::default(), Precedence::Environment)
        .expect("the file is valid")
        .warnings
}

#[test]
fn complete_file_has_no_warnings() {
    assert_eq!(warnings_of(COMPLETE_FILE), Vec::<String>::new());
}

#[test]
fn unknown_keys_and_a_missing_ops_address_are_warned_about() {
    let renamed = COMPLETE_FILE.replace("\"ops\":", "\"admin\":");
    assert_eq!(
        warnings_of(&renamed),
        [
            "the configuration has unknown keys: admin",
            "ops: no address of an operations endpoint, so this node cannot be drained"
        ]
    );
}

/// Out-of-range values used to be replaced silently.
#[test]
fn replaced_out_of_range_values_are_warned_about() {
    let changed = [
        (r#""limits":{}"#, r#""limits":{"memory_mb":-1}"#),
        (r#""deadlineUs":1"#, r#""deadlineUs":-5"#),
        (r#""realms":[]"#, r#""limits":{"multiplex":0,"idleCloseUs":1e30},"guarantees":{"coldUs":-1}"#),
    ];
    let text = changed.iter().fold(COMPLETE_FILE.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    });
    assert_eq!(
        warnings_of(&text),
        [
            "limits.idleCloseUs: 1000000000000000000000000000000 is out of range, and is taken as 1000000000000000",
            "limits.multiplex: 0 is out of range, and is taken as 1",
            "guarantees.coldUs: -1 is out of range, and is taken as 0",
            "classes[0].deadlineUs: -5 is out of range, and is taken as 0",
            "limits.memory_mb: -1 is out of range, and is taken as 16",
        ]
    );
}
