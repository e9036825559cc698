use super::*;

/// Every key that the file may have.
const WHOLE: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{},
"ops":"127.0.0.1:3","peer_listen":"127.0.0.1:4","peers":["127.0.0.1:4"],"peers_all":"127.0.0.1:5",
"known":{"revision":1,"complete":true,"members":[]},
"settings":{"classes":[{"name":"read","deadlineUs":1,"goalTimeUs":1,"effect":"pure"}],"realms":[],"zones":["a"],
"machineTypes":["m"]}}"#;

fn notes(text: &str) -> Vec<String> {
    read(text.as_bytes(), Environment::default(), Precedence::Environment).expect("it can be read").warnings
}

#[test]
fn a_file_with_every_key_has_nothing_odd() {
    assert_eq!(notes(WHOLE), Vec::<String>::new());
}

#[test]
fn keys_that_nothing_reads_and_a_missing_second_address_are_told() {
    let renamed = WHOLE.replace("\"ops\":", "\"admin\":");
    assert_eq!(
        notes(&renamed),
        [
            "the configuration has keys that nothing reads: admin",
            "ops: no second address is given, so that staff can't drain this node"
        ]
    );
}

/// Figures out of range were taken as others without a word.
#[test]
fn figures_that_are_taken_as_others_are_told() {
    let changed = [
        (r#""limits":{}"#, r#""limits":{"memory_mb":-1}"#),
        (r#""deadlineUs":1"#, r#""deadlineUs":-5"#),
        (r#""realms":[]"#, r#""limits":{"multiplex":0,"idleCloseUs":1e30},"guarantees":{"coldUs":-1}"#),
    ];
    let text = changed.iter().fold(WHOLE.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    });
    assert_eq!(
        notes(&text),
        [
            "limits.idleCloseUs: 1000000000000000000000000000000 is out of range, and is taken as 1000000000000000",
            "limits.multiplex: 0 is out of range, and is taken as 1",
            "guarantees.coldUs: -1 is out of range, and is taken as 0",
            "classes[0].deadlineUs: -5 is out of range, and is taken as 0",
            "limits.memory_mb: -1 is out of range, and is taken as 16",
        ]
    );
}
