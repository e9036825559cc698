//! Compares the size of events in several encodings: `cargo run --release -p mothpier-record --example layouts -- FILE...`.

use std::process::ExitCode;

use mothpier_record::Segment;
use mothpier_record::entry::Body;

fn main() -> ExitCode {
    let (mut events, mut record_bytes, mut postcard_bytes, mut json) = (0u64, 0, 0, 0);
    for path in std::env::args().skip(1) {
        let Ok(bytes) = std::fs::read(&path) else {
            eprintln!("cannot read {path}");
            return ExitCode::from(2);
        };
        let mut segment = match Segment::open(&bytes) {
            Ok(segment) => segment,
            Err(error) => {
                eprintln!("{path}: {error}");
                return ExitCode::from(2);
            }
        };
        let mut frame_start = segment.position();
        while let Some(entry) = segment.next() {
            // Every encoding needs a length and a checksum: they are not counted.
            let frame_length = segment.position() - frame_start;
            frame_start = segment.position();
            let Body::Event { event, .. } = &entry.body else { continue };
            events += 1;
            record_bytes += frame_length - 4 - if frame_length > 132 { 2 } else { 1 };
            postcard_bytes += postcard::to_allocvec(&(entry.at, event)).map_or(0, |b| b.len());
            json += serde_json::to_vec(&(entry.at, event)).map_or(0, |b| b.len());
        }
    }
    let each = |bytes: usize| bytes as f64 / events.max(1) as f64;
    println!("{events} events");
    println!("record format, with actions:  {:.1} bytes an event", each(record_bytes));
    println!("postcard, without actions:    {:.1}", each(postcard_bytes));
    println!("JSON, without actions:        {:.1}", each(json));
    ExitCode::SUCCESS
}
