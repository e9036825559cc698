use super::*;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[tokio::test(start_paused = true)]
async fn the_pause_doubles_up_to_its_bound_and_ends_with_a_connection() {
    let mut failures = LocalFailures::default();
    for pause in [10, 20, 40, 80, 160, 160, 160] {
        assert!(failures.may_connect());
        // Those that were tried together count once.
        for _ in 0..5 {
            failures.record_failure();
        }
        tokio::time::advance(ms(pause - 1)).await;
        assert!(!failures.may_connect(), "after {pause} ms");
        tokio::time::advance(ms(1)).await;
    }
    failures.record_failure();
    failures.record_success();
    assert!(failures.may_connect());
    failures.record_failure();
    tokio::time::advance(ms(10)).await;
    assert!(failures.may_connect(), "the pause is as long as at first");
}

#[tokio::test(start_paused = true)]
async fn the_log_is_told_once_in_five_seconds_however_many_fail() {
    let mut failures = LocalFailures::default();
    let mut logged = 0;
    for _ in 0..1100 {
        logged += u32::from(failures.record_failure());
        tokio::time::advance(ms(10)).await;
    }
    assert_eq!(logged, 3, "in 11 s");
}
