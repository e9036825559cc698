//! Segments: a header followed by entries. Each entry is framed by its length and a checksum that covers
//! everything before it.
//!
//! A segment starts with the module's complete state, so it can be read without its predecessors.

use brassrouter::{Event, Micros, Policy, ServerEntry, Settings};
use serde::{Deserialize, Serialize};

use crate::entry::{Body, Context, Entry, RecordedAction};
use crate::monotonic::MonotonicReading;
use crate::wire::{Reader, put_varint};

/// First bytes of every segment.
pub const MAGIC: [u8; 8] = *b"chalkrec";
/// Format version that is written, and the only one that is read.
pub const VERSION: u16 = 1;
/// Longest header that is read, in bytes.
const MAX_HEADER_BYTES: usize = 4 << 20;
/// Longest entry that is written or read, in bytes; only a state approaches it.
pub const MAX_ENTRY_BYTES: usize = 64 << 20;

/// Header of a segment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Name of the node, which is the same for all its incarnations.
    pub node: String,
    /// Identifies this incarnation of the node: its clock at the start, in microseconds since the start of
    /// 1970, or one more than the largest incarnation in the folder if the clock was set back.
    pub incarnation: Micros,
    /// Number of the segment within the incarnation, from 0.
    pub number: u32,
    /// Clock value at the start of the segment.
    pub started_at: Micros,
    /// Version of the node's program.
    pub program: String,
    /// Layout of the state, [`brassrouter::STATE_VERSION`].
    pub state_version: u32,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// Whether keys were hashed with a secret of the operator.
    pub secret_keys: bool,
    /// Settings of the module.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Server list at the start of the segment, for a module that can't read the state.
    pub servers: Vec<ServerEntry>,
    /// Monotonic clock at the start of the segment, if it was read. It is written after the other fields, so
    /// that programs that don't know it ignore it; records of earlier programs lack it.
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
        let (header, remainder) = postcard::take_from_bytes::<Header>(fields)?;
        Ok(Header { monotonic: postcard::from_bytes(remainder).ok(), ..header })
    }
}

/// Why a segment can't be read beyond some offset.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadError {
    /// Offset of the first byte that can't be read.
    pub offset: usize,
    /// What is wrong there.
    pub reason: &'static str,
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "byte {}: {}", self.offset, self.reason)
    }
}

/// Encodes a segment in memory, from which it is taken in chunks.
pub struct Writer {
    context: Context,
    checksum: u32,
    body: Vec<u8>,
    out: Vec<u8>,
    written: usize,
}

impl Writer {
    /// Begins a segment.
    ///
    /// # Errors
    /// The header is too long to be read back.
    pub fn begin(header: &Header) -> Result<Writer, String> {
        let fields = header.write().map_err(|e| e.to_string())?;
        if fields.len() > MAX_HEADER_BYTES {
            return Err(format!("header of {} bytes is too long", fields.len()));
        }
        let mut out = Vec::with_capacity(fields.len() + 64);
        out.extend(MAGIC);
        out.extend(VERSION.to_le_bytes());
        out.extend((fields.len() as u32).to_le_bytes());
        out.extend(fields);
        let checksum = crc32fast::hash(&out);
        out.extend(checksum.to_le_bytes());
        Ok(Writer { context: Context::new(header.started_at), checksum, body: Vec::new(), out, written: 0 })
    }

    /// Adds a complete entry.
    pub fn write_entry(&mut self, at: Micros, body: &Body) {
        self.body.clear();
        self.context.write_entry(&mut self.body, at, body);
        self.finish_entry();
    }

    /// Writes the module's complete state, as the first entry. An origin allowance, which the saved state
    /// omits, is repeated in an event immediately after it, at the module's current time: nothing else is due
    /// then.
    ///
    /// # Errors
    /// The state can't be encoded.
    pub fn write_state(&mut self, at: Micros, policy: &Policy) -> Result<(), String> {
        let state = postcard::to_allocvec(policy).map_err(|e| e.to_string())?;
        self.write_entry(at, &Body::State(state));
        if let Some(allowance) = policy.origin_allowance() {
            self.begin_event(policy.now(), &Event::OriginAllowance(Some(allowance)), None);
            self.finish_event([].into_iter());
        }
        Ok(())
    }

    /// Begins the entry of an event; [`Writer::finish_event`] completes it.
    pub fn begin_event(&mut self, at: Micros, event: &Event, client_id_checksum: Option<u32>) {
        self.body.clear();
        self.context.write_event(&mut self.body, at, event, client_id_checksum);
    }

    /// Completes the entry of an event with the actions that it caused.
    pub fn finish_event(&mut self, actions: impl ExactSizeIterator<Item = RecordedAction>) {
        self.context.write_actions(&mut self.body, 0, actions);
        self.finish_entry();
    }

    fn finish_entry(&mut self) {
        let frame_start = self.out.len();
        put_varint(&mut self.out, self.body.len() as u64);
        self.out.extend_from_slice(&self.body);
        let mut hasher = crc32fast::Hasher::new_with_initial(self.checksum);
        hasher.update(&self.out[frame_start..]);
        self.checksum = hasher.finalize();
        self.out.extend(self.checksum.to_le_bytes());
    }

    /// Number of bytes that have not been taken.
    pub fn pending_bytes(&self) -> usize {
        self.out.len()
    }

    /// Size of the segment so far, in bytes.
    pub fn len(&self) -> usize {
        self.written + self.out.len()
    }

    /// Always false, because there is a header.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the bytes written since the last call.
    pub fn take(&mut self) -> Vec<u8> {
        self.written += self.out.len();
        let capacity = self.out.len();
        std::mem::replace(&mut self.out, Vec::with_capacity(capacity.min(1 << 16)))
    }
}

/// Reads a segment.
pub struct Segment<'a> {
    /// Header of the segment.
    pub header: Header,
    bytes: &'a [u8],
    offset: usize,
    checksum: u32,
    context: Context,
    read_error: Option<ReadError>,
}

impl<'a> Segment<'a> {
    /// Reads the header.
    ///
    /// # Errors
    /// Not a record, another version, or a truncated or corrupted header, with the offset.
    pub fn open(bytes: &'a [u8]) -> Result<Segment<'a>, ReadError> {
        let read_error = |offset, reason| ReadError { offset, reason };
        let mut reader = Reader(bytes);
        if reader.bytes(MAGIC.len()).map_err(|reason| read_error(0, reason))? != MAGIC {
            return Err(read_error(0, "not a record: wrong magic bytes"));
        }
        let version = reader.bytes(2).map_err(|reason| read_error(8, reason))?;
        if version != VERSION.to_le_bytes() {
            return Err(read_error(8, "record of another format version; this program reads version 1"));
        }
        let length = u32::from_le_bytes(reader.word().map_err(|reason| read_error(10, reason))?) as usize;
        if length > MAX_HEADER_BYTES {
            return Err(read_error(10, "header is too long"));
        }
        let fields = reader.bytes(length).map_err(|_| read_error(14, "header is truncated"))?;
        let checksum =
            u32::from_le_bytes(reader.word().map_err(|_| read_error(14 + length, "header is truncated"))?);
        if checksum != crc32fast::hash(&bytes[..14 + length]) {
            return Err(read_error(14, "header is corrupted: wrong checksum"));
        }
        let header =
            Header::read(fields).map_err(|_| read_error(14, "header can't be decoded by this program"))?;
        let context = Context::new(header.started_at);
        Ok(Segment { header, bytes, offset: 18 + length, checksum, context, read_error: None })
    }

    /// Offset of the next entry.
    pub fn position(&self) -> usize {
        self.offset
    }

    /// Why reading stopped, once [`Segment::next`] has returned `None`; `None` at the end of the segment.
    pub fn read_error(&self) -> Option<&ReadError> {
        self.read_error.as_ref()
    }

    fn read(&mut self) -> Result<Option<Entry>, ReadError> {
        let frame_start = self.offset;
        let read_error = |reason| ReadError { offset: frame_start, reason };
        let mut reader = Reader(&self.bytes[frame_start..]);
        if reader.0.is_empty() {
            return Ok(None);
        }
        let length = reader.varint().map_err(read_error)?;
        let length = usize::try_from(length).ok().filter(|l| *l <= MAX_ENTRY_BYTES);
        let length = length.ok_or(read_error("entry is too long"))?;
        let body = reader.bytes(length).map_err(|_| read_error("last entry is truncated"))?;
        let frame_length = self.bytes.len() - frame_start - reader.0.len();
        let checksum = u32::from_le_bytes(reader.word().map_err(|_| read_error("last entry is truncated"))?);
        let mut hasher = crc32fast::Hasher::new_with_initial(self.checksum);
        hasher.update(&self.bytes[frame_start..frame_start + frame_length]);
        if hasher.finalize() != checksum {
            return Err(read_error("entry is corrupted: wrong checksum"));
        }
        let entry = self.context.read(body).map_err(read_error)?;
        (self.checksum, self.offset) = (checksum, frame_start + frame_length + 4);
        Ok(Some(entry))
    }
}

impl Iterator for Segment<'_> {
    type Item = Entry;

    /// The next complete entry.
    fn next(&mut self) -> Option<Entry> {
        if self.read_error.is_some() {
            return None;
        }
        match self.read() {
            Ok(entry) => entry,
            Err(read_error) => {
                self.read_error = Some(read_error);
                None
            }
        }
    }
}
