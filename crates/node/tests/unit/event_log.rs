use super::*;
use crate::failing_host::FailingHost;

#[tokio::test(start_paused = true)]
async fn each_kind_is_limited_and_omitted_lines_are_counted() {
    let host = FailingHost::new();
    let log = EventLog::new(host.clone());
    for number in 0..25 {
        log.write(EventKind::ConnectionClosed, format_args!("reason=drained connection={number}"));
    }
    log.write(EventKind::Retirement, format_args!("cause=drain step=count"));
    tokio::time::advance(WINDOW).await;
    log.write(EventKind::ConnectionClosed, format_args!("reason=idle connection=25"));
    log.write(EventKind::ConnectionClosed, format_args!("reason=idle connection=26"));
    let lines = host.log.borrow();
    assert_eq!(lines.len(), 10 + 1 + 2);
    assert_eq!(lines[0], "event=connection_closed reason=drained connection=0");
    assert_eq!(lines[10], "event=retirement cause=drain step=count");
    assert_eq!(lines[11], "event=connection_closed reason=idle connection=25 omitted_before=15");
    assert_eq!(lines[12], "event=connection_closed reason=idle connection=26");
}
