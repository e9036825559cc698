use super::*;

/// Every key that the file may have.
const WHOLE: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{},
"ops":"127.0.0.1:3","peer_listen":"127.0.0.1:4","peers":["127.0.0.1:4"],"peers_all":"127.0.0.1:5",
"known":{"revision":1,"complete":true,"members":[]},
"settings":{"classes":[{"name":"read","deadlineUs":1,"goalTimeUs":1,"effect":"pure"}],"realms":[],"zones":["a"],
"machineTypes":["m"]}}"#;

fn notes(text: &str) -> Vec<String> {
    read(text.as_bytes(), Environment::default(), Precedence::Environment).expect("it can be read").notes
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
