//! Unit tests of the seeded random numbers.

use super::*;

#[test]
fn the_same_seed_gives_the_same_numbers_and_another_others() {
    let draw = |seed| {
        let mut random = Random::new(seed);
        [0; 8].map(|_| random.between((2.0, 3.0)))
    };
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    assert!(draw(7).iter().all(|n| (2.0..3.0).contains(n)));
}
