//! Every state in which a kill can leave a file that is being replaced, on the real file system.

use super::*;

const OLD: &[u8] = b"the contents that were there before";
const NEW: &[u8] = b"the contents that replace them, which are longer";

fn directory() -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("voter.log");
    (directory, path)
}

fn names(directory: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(directory).unwrap();
    entries.map(|e| e.unwrap().file_name().into_string().unwrap()).collect()
}

#[test]
fn a_kill_at_any_byte_of_a_replacement_leaves_the_old_contents_and_the_next_replacement_cleans_up() {
    for reached in 0..=NEW.len() {
        let (directory, path) = directory();
        std::fs::write(&path, OLD).unwrap();
        std::fs::write(path.with_extension("new"), &NEW[..reached]).unwrap();
        let mut file = path.open(false).unwrap();
        assert_eq!(file.read_all().unwrap(), OLD, "killed after {reached} bytes");
        file.replace_contents(NEW).unwrap();
        assert_eq!(file.read_all().unwrap(), NEW);
        assert_eq!(std::fs::read(&path).unwrap(), NEW);
        assert_eq!(names(directory.path()), ["voter.log"], "killed after {reached} bytes");
    }
}

#[test]
fn a_replacement_that_fails_leaves_the_old_contents_and_its_lock_and_can_be_made_again() {
    let (_directory, path) = directory();
    std::fs::write(&path, OLD).unwrap();
    let mut file = path.open(false).unwrap();
    // A directory by the name of the fresh file: it cannot be created.
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

/// A process opens the file, another replaces it, and only then does the first take its lock: on a file that nobody
/// sees any more.
#[test]
fn a_lock_on_a_file_that_was_replaced_meanwhile_is_none() {
    let (_directory, path) = directory();
    std::fs::write(&path, OLD).unwrap();
    let mut holder = path.open(false).unwrap();
    let late = File::open(&path).unwrap();
    holder.replace_contents(NEW).unwrap();
    lock(&late).unwrap();
    assert_eq!(ensure_current(&late, &path).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    // Likewise for a holder whose file somebody has put another one over.
    std::fs::write(path.with_extension("copy"), OLD).unwrap();
    std::fs::rename(path.with_extension("copy"), &path).unwrap();
    assert_eq!(holder.replace_contents(NEW).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    assert_eq!(std::fs::read(&path).unwrap(), OLD);
}

/// The new contents are there under the name, though nobody knows for how long: the lock must be on them.
#[test]
fn a_replacement_whose_directory_cannot_be_synced_keeps_the_lock_and_can_be_made_again() {
    let (directory, path) = directory();
    std::fs::write(&path, OLD).unwrap();
    let file = OpenOptions::new().read(true).append(true).open(&path).unwrap();
    lock(&file).unwrap();
    let mut holder = OnDisk { file, path: path.clone(), directory: directory.path().join("missing") };
    assert_eq!(holder.replace_contents(NEW).unwrap_err().kind(), io::ErrorKind::NotFound);
    assert_eq!(holder.read_all().unwrap(), NEW);
    assert_eq!(path.open(false).unwrap_err().kind(), io::ErrorKind::WouldBlock);
    holder.directory = directory.path().into();
    holder.replace_contents(OLD).unwrap();
    assert_eq!(std::fs::read(&path).unwrap(), OLD);
}

#[test]
fn an_atomic_write_that_fails_leaves_the_old_file_and_nothing_beside_it() {
    let (directory, path) = directory();
    let fresh = path.with_extension("1");
    write_atomically(&path, &fresh, OLD).unwrap();
    assert_eq!(std::fs::read(&path).unwrap(), OLD);
    // The name is a directory with something in it: the rename fails.
    let taken = directory.path().join("taken");
    std::fs::create_dir_all(taken.join("by")).unwrap();
    assert!(write_atomically(&taken, &fresh, NEW).is_err());
    let mut left = names(directory.path());
    left.sort();
    assert_eq!(left, ["taken", "voter.log"]);
}
