//! Counters of traffic, and cuts between groups of zones.
#![allow(missing_docs)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use chalksill_simnet::{Links, Net, SimHost, Traffic, TrafficKind, run};
use mothpier_host::{Datagrams, Host, Listener};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const A: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const B: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));
const AT: SocketAddr = SocketAddr::new(B, 80);
const SOON: Duration = Duration::from_millis(100);

/// Two machines, in zones 1 and 2.
fn two_machines() -> (Net, SimHost, SimHost) {
    let net = Net::new(1, Duration::from_secs(1000), Links::default());
    spawn_local(net.clone().deliver_packets());
    let (a, b) = (net.start_process(A, 1, "a"), net.start_process(B, 2, "b"));
    (net, a, b)
}

fn traffic(messages_in: u64, messages_out: u64, bytes_in: u64, bytes_out: u64) -> Traffic {
    Traffic { messages_in, messages_out, bytes_in, bytes_out }
}

/// Sends 8 bytes, a response of 6, and a datagram of 5 to a port without a socket.
async fn exchange_messages(a: &SimHost, b: &SimHost) {
    let listener = b.listen(AT).await.unwrap();
    let mut near = a.connect(AT).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    near.write_all(b"question").await.unwrap();
    far.read_exact(&mut [0; 8]).await.unwrap();
    far.write_all(b"answer").await.unwrap();
    near.read_exact(&mut [0; 6]).await.unwrap();
    let socket = a.datagrams(SocketAddr::new(A, 7)).await.unwrap();
    socket.try_send_to(b"hello", SocketAddr::new(B, 9)).unwrap();
    sleep(SOON).await;
}

#[test]
fn messages_and_bytes_are_counted_by_machine_and_kind() {
    run(|| async {
        let (net, a, b) = two_machines();
        net.count_traffic();
        exchange_messages(&a, &b).await;
        assert_eq!(net.traffic(A, TrafficKind::Opened(80)), traffic(1, 1, 6, 8));
        assert_eq!(net.traffic(B, TrafficKind::Accepted(80)), traffic(1, 1, 8, 6));
        assert_eq!(net.traffic(A, TrafficKind::Datagrams(9)), traffic(0, 1, 0, 5));
        assert_eq!(net.traffic(B, TrafficKind::Datagrams(9)), traffic(0, 0, 0, 0), "nobody listens there");
        net.count_traffic();
        assert_eq!(net.traffic(A, TrafficKind::Opened(80)), Traffic::default());
    });
}

#[test]
fn counting_is_off_by_default_and_changes_no_digest() {
    let digest = |tallied: bool| {
        run(|| async {
            let (net, a, b) = two_machines();
            if tallied {
                net.count_traffic();
            }
            exchange_messages(&a, &b).await;
            assert_eq!(net.traffic(A, TrafficKind::Opened(80)) != Traffic::default(), tallied);
            net.digest()
        })
    };
    assert_eq!(digest(false), digest(true));
}

#[test]
fn connections_are_counted_by_destination() {
    run(|| async {
        let (net, a, b) = two_machines();
        let listener = b.listen(AT).await.unwrap();
        let near = (a.connect(AT).await.unwrap(), a.connect(AT).await.unwrap());
        let far = (listener.accept().await.unwrap(), listener.accept().await.unwrap());
        assert_eq!(net.connections().get(&AT), Some(&2));
        drop((near, far));
        sleep(SOON).await;
        assert_eq!(net.connections().get(&AT), None);
    });
}

#[test]
fn zone_partition_delays_connections_and_drops_datagrams() {
    run(|| async {
        let (net, a, b) = two_machines();
        let listener = b.listen(AT).await.unwrap();
        let mut near = a.connect(AT).await.unwrap();
        let (mut far, _) = listener.accept().await.unwrap();
        let inbox = b.datagrams(SocketAddr::new(B, 9)).await.unwrap();
        let outbox = a.datagrams(SocketAddr::new(A, 7)).await.unwrap();

        net.partition_zones(&[0, 1], &[2, 3]);
        near.write_all(b"held").await.unwrap();
        outbox.try_send_to(b"lost", SocketAddr::new(B, 9)).unwrap();
        let mut read = [0; 4];
        assert!(timeout(Duration::from_secs(60), far.read_exact(&mut read)).await.is_err());

        net.heal_zones(&[0, 1], &[2, 3]);
        far.read_exact(&mut read).await.unwrap();
        assert_eq!(&read, b"held");
        assert!(timeout(Duration::from_secs(60), inbox.recv_from(&mut [0; 8])).await.is_err());
    });
}
