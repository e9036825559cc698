//! Compiles the settings of the C library's allocator and links them into the program. Only glibc has these settings.
//! Without a C compiler the program is built without them: it works, and holds more memory.

use std::env;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = "src/allocator.c";

fn main() {
    println!("cargo:rerun-if-changed={SOURCE}");
    println!("cargo:rerun-if-env-changed=CC");
    if env::var("CARGO_CFG_TARGET_ENV").as_deref() != Ok("gnu") {
        return;
    }
    if env::var("TARGET") != env::var("HOST") {
        println!(
            "cargo:warning=built without the allocator's settings: the target is another kind of machine"
        );
        return;
    }
    let Some(folder) = env::var_os("OUT_DIR") else { return };
    let object = PathBuf::from(folder).join("allocator.o");
    match compile(&object) {
        Ok(()) => println!("cargo:rustc-link-arg-bins={}", object.display()),
        Err(error) => println!("cargo:warning=built without the allocator's settings: {error}"),
    }
}

/// Compiles the source into an object file.
///
/// # Errors
/// The compiler can't be run, or fails.
fn compile(object: &Path) -> Result<(), String> {
    let compiler = env::var("CC").unwrap_or_else(|_| "cc".into());
    let status = Command::new(&compiler).args(["-O2", "-fPIC", "-c", SOURCE, "-o"]).arg(object).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("{compiler} failed: {status}")),
        Err(error) => Err(format!("{compiler}: {error}")),
    }
}
