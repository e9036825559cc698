//! Bytes an event needs in several layouts: `cargo run --release -p mothpier-record --example layouts -- FILE...`.

use std::process::ExitCode;

use mothpier_record::Segment;
use mothpier_record::entry::Body;

fn main() -> ExitCode {
    let (mut events, mut own, mut postcard_bytes, mut json) = (0u64, 0, 0, 0);
    for path in std::env::args().skip(1) {
        let Ok(bytes) = std::fs::read(&path) else {
            eprintln!("cannot read {path}");
            return ExitCode::from(2);
        };
        let mut segment = match Segment::open(&bytes) {
            Ok(segment) => segment,
            Err(torn) => {
                eprintln!("{path}: {torn}");
                return ExitCode::from(2);
            }
        };
        let mut from = segment.position();
        while let Some(entry) = segment.next() {
            // Length and checksum are needed in any layout; here they are left out of all.
            let framed = segment.position() - from;
            from = segment.position();
            let Body::Event { event, .. } = &entry.body else { continue };
            events += 1;
            own += framed - 4 - if framed > 132 { 2 } else { 1 };
            postcard_bytes += postcard::to_allocvec(&(entry.at, event)).map_or(0, |b| b.len());
            json += serde_json::to_vec(&(entry.at, event)).map_or(0, |b| b.len());
        }
    }
    let each = |bytes: usize| bytes as f64 / events.max(1) as f64;
    println!("{events} events");
    println!("own layout, with the actions: {:.1} bytes an event", each(own));
    println!("postcard, without actions:    {:.1}", each(postcard_bytes));
    println!("JSON, without actions:        {:.1}", each(json));
    ExitCode::SUCCESS
}
