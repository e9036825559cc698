//! The folder that contains the segments: its I/O operations and the names of its files.

use std::io::{self, Write};
use std::path::PathBuf;

/// File extension of segments.
pub const FILE_EXTENSION: &str = "rec";
/// Attempts of a call that signals interrupt. Signals come singly, and no call may be repeated forever.
const MAX_INTERRUPTED_ATTEMPTS: u32 = 16;

/// A file that is being written.
pub trait SegmentFile: Write + Send {
    /// Flushes the written data to the disk.
    ///
    /// # Errors
    /// The failure reported by the disk.
    fn sync(&mut self) -> io::Result<()>;
}

impl SegmentFile for std::fs::File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// A folder of segments, on disk or simulated.
pub trait SegmentFolder: Send + 'static {
    /// Creates a file that must not exist. If it fails, the file is removed again if possible.
    ///
    /// # Errors
    /// The failure reported by the folder.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn SegmentFile>>;

    /// Removes a file.
    ///
    /// # Errors
    /// The failure reported by the folder.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Lists the names and sizes of all files.
    ///
    /// # Errors
    /// The failure reported by the folder.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
}

/// A folder of the file system.
pub struct Folder(pub PathBuf);

impl SegmentFolder for Folder {
    fn create(&mut self, name: &str) -> io::Result<Box<dyn SegmentFile>> {
        std::fs::create_dir_all(&self.0)?;
        let path = self.0.join(name);
        let file = std::fs::File::create_new(&path)?;
        // The directory entry must survive a power failure, too.
        let synced = std::fs::File::open(&self.0).and_then(|folder| folder.sync_all());
        if let Err(e) = synced {
            let _ = std::fs::remove_file(&path);
            return Err(e);
        }
        Ok(Box::new(file))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }

    fn list(&mut self) -> io::Result<Vec<(String, u64)>> {
        let entries = match std::fs::read_dir(&self.0) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            entries => entries?,
        };
        let mut files = Vec::new();
        for entry in entries {
            let entry = entry?;
            // Skips a file that was removed in the meantime.
            if let (Ok(name), Ok(metadata)) = (entry.file_name().into_string(), entry.metadata()) {
                files.push((name, metadata.len()));
            }
        }
        Ok(files)
    }
}

/// Repeats a call that was interrupted by a signal.
pub(crate) fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_INTERRUPTED_ATTEMPTS {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call()
}

/// File name of a segment.
pub fn segment_file_name(node: &str, incarnation: u64, number: u32) -> String {
    let sanitized: String = node.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect();
    format!("{sanitized}-{incarnation:016x}-{number:08x}.{FILE_EXTENSION}")
}

/// Selects the segments of a node from the files of a folder, oldest first: in the order of incarnations and
/// numbers.
pub fn segments_of_node(node: &str, files: Vec<(String, u64)>) -> Vec<(String, u64)> {
    let template = segment_file_name(node, 0, 0);
    let prefix = &template[..template.len() - NAME_SUFFIX_LENGTH];
    let mut own: Vec<_> = files
        .into_iter()
        .filter(|(name, _)| {
            name.len() == template.len() && name.starts_with(prefix) && name.ends_with(FILE_EXTENSION)
        })
        .collect();
    own.sort();
    own
}

/// Length of a file name without the node's name.
const NAME_SUFFIX_LENGTH: usize = INCARNATION_DIGITS + 1 + 8 + 1 + 3;
/// Hexadecimal digits of the incarnation in a file name.
const INCARNATION_DIGITS: usize = 16;

/// The incarnation in a segment's file name.
pub fn parse_incarnation(name: &str) -> Option<u64> {
    let start = name.len().checked_sub(NAME_SUFFIX_LENGTH)?;
    u64::from_str_radix(name.get(start..start + INCARNATION_DIGITS)?, 16).ok()
}

/// The largest incarnation among the file names of a node's segments.
pub fn largest_incarnation(names: &[String]) -> Option<u64> {
    names.iter().filter_map(|name| parse_incarnation(name)).max()
}

/// File names of a node's segments in a folder, newest first.
///
/// # Errors
/// The folder can't be read.
pub fn newest_first(files: &mut impl SegmentFolder, node: &str) -> io::Result<Vec<String>> {
    let own = segments_of_node(node, retry_interrupted(|| files.list())?);
    Ok(own.into_iter().rev().map(|(name, _)| name).collect())
}
