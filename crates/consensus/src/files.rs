//! Files of the data folder.

use {
    crate::{disk_error::DiskError, output::Output},
    std::{
        fs::{self, File},
        io,
        path::{Path, PathBuf},
    },
};

const TEMPORARY_SUFFIX: &str = ".tmp";

/// Removes what a process left that ended while it wrote a file.
pub(crate) fn remove_temporary_files(folder: &Path) -> Result<(), DiskError> {
    for entry in fs::read_dir(folder).map_err(failure("list", folder))? {
        let path = entry.map_err(failure("list", folder))?.path();
        if path.to_string_lossy().ends_with(TEMPORARY_SUFFIX) {
            remove(&path)?;
        }
    }
    Ok(())
}

/// Lists the files `PREFIX-NUMBER` in the order of their numbers.
pub(crate) fn numbered_files(folder: &Path, prefix: &str) -> Result<Vec<(u64, PathBuf)>, DiskError> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(failure("list", folder))? {
        let path = entry.map_err(failure("list", folder))?.path();
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
pub(crate) fn replace_file(path: &Path, content: &[u8], output: &mut Output) -> Result<(), DiskError> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(TEMPORARY_SUFFIX);
    let temporary = PathBuf::from(temporary);
    let mut file = File::create(&temporary).map_err(failure("create", &temporary))?;
    output.write(&mut file, &temporary, content)?;
    output.sync(&file, &temporary)?;
    fs::rename(&temporary, path).map_err(failure("rename", &temporary))?;
    sync_folder(output, path.parent().unwrap_or(path))
}

pub(crate) fn sync_folder(output: &mut Output, folder: &Path) -> Result<(), DiskError> {
    let file = File::open(folder).map_err(failure("open", folder))?;
    output.sync(&file, folder)
}

pub(crate) fn remove(path: &Path) -> Result<(), DiskError> {
    fs::remove_file(path).map_err(failure("remove", path))
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

pub(crate) fn damage(file: &Path, offset: u64, reason: &'static str) -> DiskError {
    DiskError::Damaged {
        file: file.to_owned(),
        offset,
        reason,
    }
}

pub(crate) fn failure(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> DiskError {
    let file = file.to_owned();
    move |source| DiskError::File { action, file, source }
}
