//! File operations of the data folder.

use {
    crate::{disk_error::DiskError, file_writer::FileWriter},
    std::{
        fs::{self, File},
        io,
        path::{Path, PathBuf},
    },
};

const TEMPORARY_SUFFIX: &str = ".tmp";

/// Removes the temporary files of a process that ended before it renamed them.
pub(crate) fn remove_temporary_files(folder: &Path) -> Result<(), DiskError> {
    for entry in fs::read_dir(folder).map_err(file_error("list", folder))? {
        let path = entry.map_err(file_error("list", folder))?.path();
        if path.to_string_lossy().ends_with(TEMPORARY_SUFFIX) {
            remove_file(&path)?;
        }
    }
    Ok(())
}

/// Lists the files whose names are `prefix` and a number, in the order of the numbers.
pub(crate) fn numbered_files(folder: &Path, prefix: &str) -> Result<Vec<(u64, PathBuf)>, DiskError> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(file_error("list", folder))? {
        let path = entry.map_err(file_error("list", folder))?.path();
        let number = path
            .file_name()
            .and_then(|name| name.to_str())
            .and_then(|name| name.strip_prefix(prefix))
            .and_then(|number| number.parse().ok());
        if let Some(number) = number {
            files.push((number, path));
        }
    }
    files.sort_unstable();
    Ok(files)
}

/// Writes a temporary file, syncs it, renames it to `path` and syncs the folder.
pub(crate) fn replace_file(path: &Path, content: &[u8], writer: &mut FileWriter) -> Result<(), DiskError> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(TEMPORARY_SUFFIX);
    let temporary = PathBuf::from(temporary);
    let mut file = File::create(&temporary).map_err(file_error("create", &temporary))?;
    writer.write(&mut file, &temporary, content)?;
    writer.sync(&file, &temporary)?;
    fs::rename(&temporary, path).map_err(file_error("rename", &temporary))?;
    sync_folder(writer, path.parent().unwrap_or(path))
}

pub(crate) fn sync_folder(writer: &mut FileWriter, folder: &Path) -> Result<(), DiskError> {
    let file = File::open(folder).map_err(file_error("open", folder))?;
    writer.sync(&file, folder)
}

pub(crate) fn remove_file(path: &Path) -> Result<(), DiskError> {
    fs::remove_file(path).map_err(file_error("remove", path))
}

pub(crate) fn with_checksum(body: &[u8]) -> Vec<u8> {
    let mut file = crc32fast::hash(body).to_le_bytes().to_vec();
    file.extend_from_slice(body);
    file
}

pub(crate) fn without_checksum(file: &[u8]) -> Option<&[u8]> {
    let (checksum, body) = file.split_first_chunk::<4>()?;
    (crc32fast::hash(body) == u32::from_le_bytes(*checksum)).then_some(body)
}

pub(crate) fn damaged(file: &Path, offset: u64, reason: &'static str) -> DiskError {
    DiskError::Damaged {
        file: file.to_owned(),
        offset,
        reason,
    }
}

pub(crate) fn file_error(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> DiskError {
    let file = file.to_owned();
    move |source| DiskError::File { action, file, source }
}
