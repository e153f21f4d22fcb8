//! Replacement of a file on the real file system, interrupted or failing at every step.

use super::*;

const OLD: &[u8] = b"the contents that were there before";
const NEW: &[u8] = b"the contents that replace them, which are longer";

fn create_directory() -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("voter.log");
    (directory, path)
}

fn file_names(directory: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(directory).unwrap();
    entries.map(|e| e.unwrap().file_name().into_string().unwrap()).collect()
}

#[test]
fn kill_during_a_replacement_leaves_the_old_contents_and_the_next_replacement_removes_the_leftover() {
    for written in 0..=NEW.len() {
        let (directory, path) = create_directory();
        std::fs::write(&path, OLD).unwrap();
        std::fs::write(path.with_extension("new"), &NEW[..written]).unwrap();
        let mut file = path.open(false).unwrap();
        assert_eq!(file.read_all().unwrap(), OLD, "killed after {written} bytes");
        file.replace_contents(NEW).unwrap();
        assert_eq!(file.read_all().unwrap(), NEW);
        assert_eq!(std::fs::read(&path).unwrap(), NEW);
        assert_eq!(file_names(directory.path()), ["voter.log"], "killed after {written} bytes");
    }
}

#[test]
fn failed_replacement_keeps_the_old_contents_and_the_lock_and_can_be_repeated() {
    let (_directory, path) = create_directory();
    std::fs::write(&path, OLD).unwrap();
    let mut file = path.open(false).unwrap();
    // A directory with the name of the temporary file: the file cannot be created.
    std::fs::create_dir(path.with_extension("new")).unwrap();
    assert!(file.replace_contents(NEW).is_err());
    assert_eq!(file.read_all().unwrap(), OLD);
    assert_eq!(path.open(false).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    std::fs::remove_dir(path.with_extension("new")).unwrap();
    file.replace_contents(NEW).unwrap();
    file.write(b"!").unwrap();
    assert_eq!(file.read_all().unwrap(), [NEW, b"!"].concat());
    assert_eq!(path.open(false).unwrap_err().kind(), io::ErrorKind::WouldBlock);
}

/// Guards against two owners: a process opens the file, another one replaces it, and only then the first one
/// locks the file that it opened.
#[test]
fn lock_on_a_file_that_was_replaced_is_rejected() {
    let (_directory, path) = create_directory();
    std::fs::write(&path, OLD).unwrap();
    let mut owner = path.open(false).unwrap();
    let opened_before = File::open(&path).unwrap();
    owner.replace_contents(NEW).unwrap();
    lock(&opened_before).unwrap();
    assert_eq!(ensure_current(&opened_before, &path).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    // The same for an owner whose file was overwritten by a rename.
    std::fs::write(path.with_extension("copy"), OLD).unwrap();
    std::fs::rename(path.with_extension("copy"), &path).unwrap();
    assert_eq!(owner.replace_contents(NEW).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    assert_eq!(std::fs::read(&path).unwrap(), OLD);
}

#[test]
fn replacement_whose_directory_cannot_be_synced_keeps_the_lock_and_can_be_repeated() {
    let (directory, path) = create_directory();
    std::fs::write(&path, OLD).unwrap();
    let file = OpenOptions::new().read(true).append(true).open(&path).unwrap();
    lock(&file).unwrap();
    let mut owner = DiskFile { file, path: path.clone(), directory: directory.path().join("missing") };
    assert_eq!(owner.replace_contents(NEW).unwrap_err().kind(), io::ErrorKind::NotFound);
    assert_eq!(owner.read_all().unwrap(), NEW);
    assert_eq!(path.open(false).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    owner.directory = directory.path().into();
    owner.replace_contents(OLD).unwrap();
    assert_eq!(std::fs::read(&path).unwrap(), OLD);
}

#[test]
fn failed_atomic_write_leaves_the_old_file_and_no_temporary_file() {
    let (directory, path) = create_directory();
    let temporary = path.with_extension("1");
    write_atomically(&path, &temporary, OLD).unwrap();
    assert_eq!(std::fs::read(&path).unwrap(), OLD);
    // The target is a directory that is not empty: the rename fails.
    let taken = directory.path().join("taken");
    std::fs::create_dir_all(taken.join("by")).unwrap();
    assert!(write_atomically(&taken, &temporary, NEW).is_err());
    let mut left = file_names(directory.path());
    left.sort();
    assert_eq!(left, ["taken", "voter.log"]);
}
