//! The folder that segments are kept in: its calls, which may fail, and the names of its files.

use std::io::{self, Write};
use std::path::PathBuf;

/// The ending of a segment's file.
pub const FILE_EXTENSION: &str = "rec";
/// A call that a signal interrupts is tried so often: signals come singly, and no call may go on for ever.
const INTERRUPTED_TRIES: u32 = 16;

/// A file that is written.
pub trait Output: Write + Send {
    /// Forces onto the disk what was written.
    ///
    /// # Errors
    /// What the disk says.
    fn sync(&mut self) -> io::Result<()>;
}

impl Output for std::fs::File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// A folder of segments, real or not.
pub trait Files: Send + 'static {
    /// Creates a file that is not there yet. Where it fails, no file is left there if that can be helped.
    ///
    /// # Errors
    /// What the folder says.
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Output>>;

    /// Removes a file.
    ///
    /// # Errors
    /// What the folder says.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// The names of all files there, and their sizes.
    ///
    /// # Errors
    /// What the folder says.
    fn list(&mut self) -> io::Result<Vec<(String, u64)>>;
}

/// A folder of the machine.
pub struct Folder(pub PathBuf);

impl Files for Folder {
    fn create(&mut self, name: &str) -> io::Result<Box<dyn Output>> {
        std::fs::create_dir_all(&self.0)?;
        let path = self.0.join(name);
        let file = std::fs::File::create_new(&path)?;
        // The name must outlast a power cut, too.
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
            // One that has just gone is not there.
            if let (Ok(name), Ok(about)) = (entry.file_name().into_string(), entry.metadata()) {
                files.push((name, about.len()));
            }
        }
        Ok(files)
    }
}

/// Tries a call again that a signal has interrupted.
pub(crate) fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..INTERRUPTED_TRIES {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
    call()
}

/// The file of a segment.
pub fn segment_file_name(node: &str, life: u64, number: u32) -> String {
    let plain: String = node.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect();
    format!("{plain}-{life:016x}-{number:08x}.{FILE_EXTENSION}")
}

/// The segments of a node among the files of a folder, oldest first: in the order of incarnations and numbers.
pub fn of_node(node: &str, files: Vec<(String, u64)>) -> Vec<(String, u64)> {
    let pattern = segment_file_name(node, 0, 0);
    let prefix = &pattern[..pattern.len() - NAME_TAIL];
    let mut own: Vec<_> = files
        .into_iter()
        .filter(|(name, _)| {
            name.len() == pattern.len() && name.starts_with(prefix) && name.ends_with(FILE_EXTENSION)
        })
        .collect();
    own.sort();
    own
}

/// Length of a name without the node's.
const NAME_TAIL: usize = INCARNATION_DIGITS + 1 + 8 + 1 + 3;
/// Hexadecimal digits of an incarnation in a name.
const INCARNATION_DIGITS: usize = 16;

/// The incarnation that a segment's name says.
pub fn incarnation(name: &str) -> Option<u64> {
    let begin = name.len().checked_sub(NAME_TAIL)?;
    u64::from_str_radix(name.get(begin..begin + INCARNATION_DIGITS)?, 16).ok()
}

/// The largest incarnation among the names of a node's segments.
pub fn largest_incarnation(names: &[String]) -> Option<u64> {
    names.iter().filter_map(|name| incarnation(name)).max()
}

/// The names of a node's segments in a folder, newest first.
///
/// # Errors
/// The folder can't be read.
pub fn newest_first(files: &mut impl Files, node: &str) -> io::Result<Vec<String>> {
    let own = of_node(node, uninterrupted(|| files.list())?);
    Ok(own.into_iter().rev().map(|(name, _)| name).collect())
}
