//! Where segments lie. Nothing is decided here.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A place for segments.
pub trait SegmentStore {
    /// Begins a segment with these bytes.
    fn begin(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()>;
    /// Adds bytes to the segment begun last. Where the place outlasts the process they do, once this returns.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Removes a segment.
    fn remove(&mut self, segment: u64) -> io::Result<()>;
    /// The bytes of a segment.
    fn read(&self, segment: u64) -> io::Result<Vec<u8>>;
}

/// Segments in memory: they are gone with the process unless it is asked for a dump, or panics.
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

const END: &str = ".nptrec";

/// Segments as files of a folder. Each turn is handed to the system at once, so that it outlasts the process,
/// also one that is killed; a power cut may take the last ones.
#[derive(Debug)]
pub struct FolderStore {
    path: PathBuf,
    last: Option<File>,
}

impl FolderStore {
    /// A folder, made if it is not there, and the segments in it: number and length, oldest first.
    pub fn open(path: &Path) -> io::Result<(Self, Vec<(u64, u64)>)> {
        fs::create_dir_all(path)?;
        let mut there = Vec::new();
        for number in segment_numbers(path)? {
            there.push((number, fs::metadata(file(path, number))?.len()));
        }
        Ok((Self { path: path.to_owned(), last: None }, there))
    }
}

fn file(folder: &Path, segment: u64) -> PathBuf {
    folder.join(format!("{segment:012}{END}"))
}

/// The segments' numbers in a folder, in order. Other files are none of ours.
pub fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let Some(stem) = name.to_str().and_then(|n| n.strip_suffix(END)) else { continue };
        if stem.len() == 12 {
            found.extend(stem.parse::<u64>().ok());
        }
    }
    found.sort_unstable();
    Ok(found)
}

/// A recording as bytes, from a file or from a folder of segments.
pub fn load(path: &Path) -> io::Result<Vec<u8>> {
    if !path.is_dir() {
        return fs::read(path);
    }
    let mut bytes = Vec::new();
    for number in segment_numbers(path)? {
        match fs::read(file(path, number)) {
            Ok(segment) => bytes.extend(segment),
            // It gave way between the look and the read.
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
    }
    Ok(bytes)
}

impl SegmentStore for FolderStore {
    fn begin(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()> {
        let path = file(&self.path, segment);
        let mut new = OpenOptions::new().create_new(true).append(true).open(&path)?;
        if let Err(e) = new.write_all(bytes) {
            // What is half written would be taken for a damaged recording.
            let _ = fs::remove_file(&path);
            return Err(e);
        }
        self.last = Some(new);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.last.as_mut().ok_or(io::ErrorKind::NotFound)?.write_all(bytes)
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        match fs::remove_file(file(&self.path, segment)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn read(&self, segment: u64) -> io::Result<Vec<u8>> {
        fs::read(file(&self.path, segment))
    }
}
