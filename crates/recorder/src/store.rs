//! Stores the segments of a recording in memory or in a folder.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A store for segments.
pub trait SegmentStore {
    /// Begins a segment with these bytes.
    fn begin(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()>;
    /// Appends bytes to the segment that was begun last. In a store that outlasts the process, the bytes
    /// outlast it once this returns.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Removes a segment.
    fn remove(&mut self, segment: u64) -> io::Result<()>;
    /// Returns the bytes of a segment.
    fn read(&self, segment: u64) -> io::Result<Vec<u8>>;
}

/// Stores segments in memory. They are lost with the process, unless a dump is requested or the process
/// panics.
#[derive(Debug, Default)]
pub struct MemoryStore {
    segments: BTreeMap<u64, Vec<u8>>,
}

impl SegmentStore for MemoryStore {
    fn begin(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()> {
        self.segments.insert(segment, bytes.to_vec());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let last = self.segments.last_entry().ok_or(io::ErrorKind::NotFound)?;
        last.into_mut().extend_from_slice(bytes);
        Ok(())
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.segments.remove(&segment);
        Ok(())
    }

    fn read(&self, segment: u64) -> io::Result<Vec<u8>> {
        self.segments.get(&segment).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

const FILE_EXTENSION: &str = ".nptrec";

/// Stores segments as files of a folder. Each turn is passed to the operating system at once, so it survives
/// the end of the process, even if that is killed. A power failure may lose the last turns.
#[derive(Debug)]
pub struct FolderStore {
    path: PathBuf,
    current: Option<File>,
}

impl FolderStore {
    /// Opens a folder, which is created if necessary. Also returns the number and length of each existing
    /// segment, oldest first.
    pub fn open(path: &Path) -> io::Result<(Self, Vec<(u64, u64)>)> {
        fs::create_dir_all(path)?;
        let mut existing = Vec::new();
        for number in segment_numbers(path)? {
            existing.push((number, fs::metadata(segment_path(path, number))?.len()));
        }
        Ok((Self { path: path.to_owned(), current: None }, existing))
    }
}

fn segment_path(folder: &Path, segment: u64) -> PathBuf {
    folder.join(format!("{segment:012}{FILE_EXTENSION}"))
}

/// Returns the numbers of the segments in a folder, in order. Other files are ignored.
pub fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let Some(stem) = name.to_str().and_then(|n| n.strip_suffix(FILE_EXTENSION)) else { continue };
        if stem.len() == 12 {
            numbers.extend(stem.parse::<u64>().ok());
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reads the bytes of a recording from a file or from a folder of segments.
pub fn load(path: &Path) -> io::Result<Vec<u8>> {
    if !path.is_dir() {
        return fs::read(path);
    }
    let mut bytes = Vec::new();
    for number in segment_numbers(path)? {
        match fs::read(segment_path(path, number)) {
            Ok(segment) => bytes.extend(segment),
            // The segment was removed after the folder was listed.
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
    }
    Ok(bytes)
}

impl SegmentStore for FolderStore {
    fn begin(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()> {
        let path = segment_path(&self.path, segment);
        let mut file = OpenOptions::new().create_new(true).append(true).open(&path)?;
        if let Err(e) = file.write_all(bytes) {
            // An incomplete file would look like a damaged recording.
            let _ = fs::remove_file(&path);
            return Err(e);
        }
        self.current = Some(file);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.current.as_mut().ok_or(io::ErrorKind::NotFound)?.write_all(bytes)
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        match fs::remove_file(segment_path(&self.path, segment)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn read(&self, segment: u64) -> io::Result<Vec<u8>> {
        fs::read(segment_path(&self.path, segment))
    }
}
