//! Segments: a header, then entries, each framed by its length and checked by a checksum that takes in all before it.
//!
//! A segment begins with the module's whole state, so each can be read without those before it.

use brassrouter::{Event, Micros, Policy, ServerEntry, Settings};
use serde::{Deserialize, Serialize};

use crate::entry::{Body, Context, Entry, RecordedAction};
use crate::monotonic::MonotonicReading;
use crate::wire::{Input, put};

/// The first bytes of every segment.
pub const MAGIC: [u8; 8] = *b"chalkrec";
/// The version of the format that is written, and the only one that is read.
pub const VERSION: u16 = 1;
/// The longest header that is read, in bytes.
const MOST_HEADER: usize = 4 << 20;
/// The longest entry that is written or read, in bytes; only a state comes near it.
pub const MOST_ENTRY: usize = 64 << 20;

/// What a segment says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Name of the node, the same over its restarts.
    pub node: String,
    /// Names this incarnation of the node: its clock when it began, microseconds since the start of 1970, or one more
    /// than the largest in the folder where the clock was set back.
    pub incarnation: Micros,
    /// Number of the segment within the life, from 0.
    pub number: u32,
    /// The clock at the segment's begin.
    pub started_at: Micros,
    /// Version of the node's program.
    pub program: String,
    /// Layout of the state, [`brassrouter::STATE_VERSION`].
    pub state_version: u32,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// Whether keys were hashed with a secret of the operator's.
    pub secret_keys: bool,
    /// What the module acts on.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// The server list at the begin, for a module that can't read the state.
    pub servers: Vec<ServerEntry>,
    /// The monotonic clock at the segment's begin, where it was read. Written behind the other fields, where programs
    /// that don't know it don't look, and absent from records of earlier programs.
    #[serde(skip)]
    pub monotonic: Option<MonotonicReading>,
}

impl Header {
    fn write(&self) -> postcard::Result<Vec<u8>> {
        let mut fields = postcard::to_allocvec(self)?;
        if let Some(reading) = &self.monotonic {
            fields.extend(postcard::to_allocvec(reading)?);
        }
        Ok(fields)
    }

    fn read(fields: &[u8]) -> postcard::Result<Header> {
        let (header, rest) = postcard::take_from_bytes::<Header>(fields)?;
        Ok(Header { monotonic: postcard::from_bytes(rest).ok(), ..header })
    }
}

/// Why a segment can't be read from some place on.
#[derive(Debug, Clone, PartialEq)]
pub struct Torn {
    /// The byte at which what can't be read begins.
    pub at: usize,
    /// What is wrong there.
    pub why: &'static str,
}

impl std::fmt::Display for Torn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "byte {}: {}", self.at, self.why)
    }
}

/// Writes a segment into memory, piece by piece.
pub struct Writer {
    context: Context,
    sum: u32,
    body: Vec<u8>,
    out: Vec<u8>,
    written: usize,
}

impl Writer {
    /// Begins a segment.
    ///
    /// # Errors
    /// A header that is too long to be read back.
    pub fn begin(header: &Header) -> Result<Writer, String> {
        let fields = header.write().map_err(|e| e.to_string())?;
        if fields.len() > MOST_HEADER {
            return Err(format!("a header of {} bytes", fields.len()));
        }
        let mut out = Vec::with_capacity(fields.len() + 64);
        out.extend(MAGIC);
        out.extend(VERSION.to_le_bytes());
        out.extend((fields.len() as u32).to_le_bytes());
        out.extend(fields);
        let sum = crc32fast::hash(&out);
        out.extend(sum.to_le_bytes());
        Ok(Writer { context: Context::new(header.started_at), sum, body: Vec::new(), out, written: 0 })
    }

    /// Adds an entry whole.
    pub fn entry(&mut self, at: Micros, body: &Body) {
        self.body.clear();
        self.context.special(&mut self.body, at, body);
        self.close();
    }

    /// Writes the module's whole state, as the first entry. What the saved state leaves out is told again right behind it, at the time
    /// that the module was last told of: nothing else is due then.
    ///
    /// # Errors
    /// That the state can't be written.
    pub fn state(&mut self, at: Micros, policy: &Policy) -> Result<(), String> {
        let state = postcard::to_allocvec(policy).map_err(|e| e.to_string())?;
        self.entry(at, &Body::State(state));
        if let Some(allowance) = policy.origin_allowance() {
            self.event(policy.now(), &Event::OriginAllowance(Some(allowance)), None);
            self.actions([].into_iter());
        }
        Ok(())
    }

    /// Begins the entry of an event; [`Writer::actions`] ends it.
    pub fn event(&mut self, at: Micros, event: &Event, reference: Option<u32>) {
        self.body.clear();
        self.context.event(&mut self.body, at, event, reference);
    }

    /// Ends the entry of an event with the actions that it called for.
    pub fn actions(&mut self, actions: impl ExactSizeIterator<Item = RecordedAction>) {
        self.context.actions(&mut self.body, 0, actions);
        self.close();
    }

    fn close(&mut self) {
        let begin = self.out.len();
        put(&mut self.out, self.body.len() as u64);
        self.out.extend_from_slice(&self.body);
        let mut hasher = crc32fast::Hasher::new_with_initial(self.sum);
        hasher.update(&self.out[begin..]);
        self.sum = hasher.finalize();
        self.out.extend(self.sum.to_le_bytes());
    }

    /// Bytes that wait to be taken.
    pub fn waiting(&self) -> usize {
        self.out.len()
    }

    /// Bytes of the segment so far.
    pub fn len(&self) -> usize {
        self.written + self.out.len()
    }

    /// Whether nothing was written; never so, for there is a header.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes what was written since the last time.
    pub fn take(&mut self) -> Vec<u8> {
        self.written += self.out.len();
        let room = self.out.len();
        std::mem::replace(&mut self.out, Vec::with_capacity(room.min(1 << 16)))
    }
}

/// A segment that is read.
pub struct Segment<'a> {
    /// What it says of itself.
    pub header: Header,
    bytes: &'a [u8],
    at: usize,
    sum: u32,
    context: Context,
    torn: Option<Torn>,
}

impl<'a> Segment<'a> {
    /// Reads the header.
    ///
    /// # Errors
    /// What is wrong and where: no record, another version, a header that is cut off or spoilt.
    pub fn open(bytes: &'a [u8]) -> Result<Segment<'a>, Torn> {
        let torn = |at, why| Torn { at, why };
        let mut input = Input(bytes);
        if input.bytes(MAGIC.len()).map_err(|why| torn(0, why))? != MAGIC {
            return Err(torn(0, "no record: it does not begin as one"));
        }
        let version = input.bytes(2).map_err(|why| torn(8, why))?;
        if version != VERSION.to_le_bytes() {
            return Err(torn(8, "a record of another version; this program reads version 1"));
        }
        let length = u32::from_le_bytes(input.word().map_err(|why| torn(10, why))?) as usize;
        if length > MOST_HEADER {
            return Err(torn(10, "a header longer than any"));
        }
        let fields = input.bytes(length).map_err(|_| torn(14, "its header is cut off"))?;
        let sum = u32::from_le_bytes(input.word().map_err(|_| torn(14 + length, "its header is cut off"))?);
        if sum != crc32fast::hash(&bytes[..14 + length]) {
            return Err(torn(14, "its header is spoilt: the checksum is another"));
        }
        let header =
            Header::read(fields).map_err(|_| torn(14, "its header can't be read by this program"))?;
        let context = Context::new(header.started_at);
        Ok(Segment { header, bytes, at: 18 + length, sum, context, torn: None })
    }

    /// The byte at which the next entry begins.
    pub fn position(&self) -> usize {
        self.at
    }

    /// What stopped the reading, once [`Segment::next`] has given `None`; `None` where it came to the end.
    pub fn read_error(&self) -> Option<&Torn> {
        self.torn.as_ref()
    }

    fn read(&mut self) -> Result<Option<Entry>, Torn> {
        let begin = self.at;
        let torn = |why| Torn { at: begin, why };
        let mut input = Input(&self.bytes[begin..]);
        if input.0.is_empty() {
            return Ok(None);
        }
        let length = input.number().map_err(torn)?;
        let length = usize::try_from(length).ok().filter(|l| *l <= MOST_ENTRY);
        let length = length.ok_or(torn("an entry longer than any"))?;
        let body = input.bytes(length).map_err(|_| torn("its last entry is cut off"))?;
        let framed = self.bytes.len() - begin - input.0.len();
        let sum = u32::from_le_bytes(input.word().map_err(|_| torn("its last entry is cut off"))?);
        let mut hasher = crc32fast::Hasher::new_with_initial(self.sum);
        hasher.update(&self.bytes[begin..begin + framed]);
        if hasher.finalize() != sum {
            return Err(torn("an entry is spoilt: the checksum is another"));
        }
        let entry = self.context.read(body).map_err(torn)?;
        (self.sum, self.at) = (sum, begin + framed + 4);
        Ok(Some(entry))
    }
}

impl Iterator for Segment<'_> {
    type Item = Entry;

    /// The next whole entry.
    fn next(&mut self) -> Option<Entry> {
        if self.torn.is_some() {
            return None;
        }
        match self.read() {
            Ok(entry) => entry,
            Err(torn) => {
                self.torn = Some(torn);
                None
            }
        }
    }
}
