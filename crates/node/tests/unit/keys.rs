use super::*;

#[test]
fn a_secret_changes_all_numbers_and_is_read_strictly() {
    let one = KeyHasher::from_hex_secret(" 000102030405060708090a0b0c0d0e0f\n").unwrap();
    let other = KeyHasher::from_hex_secret("100102030405060708090a0b0c0d0e0f").unwrap();
    let numbers = [KeyHasher::Plain, one, other].map(|k| k.hash(b"station/17"));
    assert!(numbers[0] != numbers[1] && numbers[1] != numbers[2] && numbers[0] != numbers[2]);
    assert_eq!(format!("{one:?}"), "Secret");
    for bad in [
        "",
        "00",
        "0001020304050607 08090a0b0c0d0e0f",
        "+0+1+2+3+4+5+6+7+8+9+a+b+c+d+e+f",
        "é00102030405060708090a0b0c0d0e0",
    ] {
        assert!(KeyHasher::from_hex_secret(bad).is_err(), "{bad}");
    }
}
