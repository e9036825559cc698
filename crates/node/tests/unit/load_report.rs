//! Tests of load reports that no load can have.

use super::*;

const SETTINGS: &str = r#"{"classes":[{"name":"read"}],"machineTypes":["m","origin"],"zones":["a"],
    "specifics":{"mode":"aside","originKind":1},"report":{"fields":["lat_ms","busy"]}}"#;

#[test]
fn implausible_load_values_discard_the_report() {
    let settings = brassrouter::settings::parse(SETTINGS.as_bytes()).unwrap();
    assert_eq!(parse_load_report(&settings, "lat_ms=5,busy=0.5").values[..2], [5.0, 0.5]);
    for bad in ["lat_ms=5,busy=NaN", "lat_ms=inf,busy=0.5", "lat_ms=5,busy=-1", "busy=1e30,lat_ms=1", "x", ""]
    {
        assert_eq!(parse_load_report(&settings, bad), LoadReport::default(), "{bad}");
    }
}
