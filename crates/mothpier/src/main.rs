//! `mothpier`, a load-balancing node for a fleet of cache servers: reads the environment, starts the runtime and
//! handles signals.

mod handover;
mod recording;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use mothpier_host::opening::listen_with_retry;
use mothpier_host::{Host, Listener, SystemHost, inherited};
use mothpier_node::config::{self, Config, Environment, Precedence};
use mothpier_node::keys::KeyHasher;
use mothpier_node::{Control, StartOptions, operator, ops, run};
use mothpier_ops::OpsEndpoint;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Environment variables that the program reads, without [`VARIABLE_PREFIX`].
const VARIABLES: [&str; 7] = ["NAME", "LISTEN", "DISCOVERY", "CONFIG", "OPS", "OPERATOR", "SOCKET_FD"];
/// Common prefix of all environment variables of the program.
const VARIABLE_PREFIX: &str = "ROUTER_";

const HOST: SystemHost = SystemHost { program: "mothpier" };

fn main() -> ExitCode {
    // The inherited descriptor is taken before anything is opened, so that its number can't belong to a file of this
    // process.
    let inputs = inherited_listener().and_then(|l| read(Precedence::Environment).map(|config| (config, l)));
    let (config, listener) = match inputs {
        Ok(inputs) => inputs,
        Err(e) => {
            HOST.log(format_args!("{e}"));
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime
        .map_err(|e| e.to_string())
        .and_then(|r| LocalSet::new().block_on(&r, serve(config, listener)));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            HOST.log(format_args!("{e}"));
            ExitCode::FAILURE
        }
    }
}

/// Environment variables with the program's prefix that it does not read, most likely misspelt.
fn unknown_variables() -> Vec<String> {
    let names = std::env::vars_os().filter_map(|(name, _)| name.into_string().ok());
    let unknown = |name: &String| name.strip_prefix(VARIABLE_PREFIX).is_some_and(|n| !VARIABLES.contains(&n));
    names.filter(unknown).collect()
}

/// The inherited listener whose descriptor number `ROUTER_SOCKET_FD` holds, if that is set.
fn inherited_listener() -> Result<Option<TcpListener>, String> {
    let value = std::env::var_os("ROUTER_SOCKET_FD").filter(|v| !v.is_empty());
    let listener = value.map(|text| inherited::listener(&text.to_string_lossy())).transpose();
    listener.map_err(|e| format!("ROUTER_SOCKET_FD: {e}"))
}

/// Reads the environment and the files that it names. The error is a single line.
fn read(precedence: Precedence) -> Result<Config, String> {
    let env = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let path = env("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let overrides = Environment {
        name: env("ROUTER_NAME"),
        listen: env("ROUTER_LISTEN"),
        discovery: env("ROUTER_DISCOVERY"),
        ops: env("ROUTER_OPS"),
    };
    let mut config = config::read(&text, overrides, precedence)
        .map_err(|e| format!("invalid configuration {path}: {e}"))?;
    if let Some(path) = env("ROUTER_OPERATOR") {
        let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        config.operator = operator::read(&text).map_err(|e| format!("{path}: {e}"))?;
        config.operator.check_against(&text, &config.site).map_err(|e| format!("{path}: {e}"))?;
    }
    if let Some(path) = &config.operator.record.key_file {
        let with_path = |e: String| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| with_path(e.to_string()))?;
        config.key_hasher = KeyHasher::from_hex_secret(&text).map_err(with_path)?;
    }
    Ok(config)
}

/// Starts the operations endpoint on a thread of its own, so that operators get an answer within a second even when the
/// node's main thread is saturated.
fn start_ops_endpoint(
    address: SocketAddr,
    ops_endpoint: Arc<OpsEndpoint>,
    control: mpsc::Sender<Control>,
    descriptors: usize,
) -> Result<(), String> {
    let (report_bound, bound) = std::sync::mpsc::channel();
    let run_endpoint = move || {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(e) => return report_bound.send(Err(e)).unwrap_or_default(),
        };
        LocalSet::new().block_on(&runtime, async {
            match listen_with_retry(&HOST, address).await {
                Ok(listener) => {
                    // The address is only logged.
                    let _ = report_bound.send(Ok(listener.local_addr().unwrap_or(address)));
                    ops::serve(HOST, listener, ops_endpoint, control, descriptors).await;
                }
                Err(e) => report_bound.send(Err(e)).unwrap_or_default(),
            }
        });
    };
    let thread = std::thread::Builder::new().name("ops".into()).spawn(run_endpoint);
    let bound = thread.and_then(|_| bound.recv().map_err(std::io::Error::other)?);
    let address =
        bound.map_err(|e| format!("cannot listen on {address} for the operations endpoint: {e}"))?;
    HOST.log(format_args!("serving the operations endpoint on {address}"));
    Ok(())
}

/// Runs the node and forwards signals to it.
async fn serve(config: Config, listener: Option<TcpListener>) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    // Handled before the node starts: the default action of SIGHUP ends the process.
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let (control, commands) = mpsc::channel(8);
    config.warnings.iter().for_each(|note| HOST.log(format_args!("{note}")));
    unknown_variables().iter().for_each(|name| HOST.log(format_args!("unknown environment variable {name}")));
    let ops_endpoint = OpsEndpoint::new(&config.site.class_names);
    if let Some(address) = config.ops_listen {
        start_ops_endpoint(address, ops_endpoint.clone(), control.clone(), config.max_descriptors)?;
    }
    let listener =
        listener.map(|l| HOST.adopt(l)).transpose().map_err(|e| format!("inherited listener: {e}"))?;
    // A handover needs a listener that predecessor and successor share.
    let folder =
        std::env::var_os("TMPDIR").map(PathBuf::from).filter(|f| listener.is_some() && f.is_absolute());
    let handover = match folder {
        Some(folder) => Some(handover::begin(folder, &config.name).await),
        None => None,
    };
    let start = StartOptions { recorder: recording::recorder(HOST, &config), listener, handover };
    let mut node = std::pin::pin!(run(HOST, config, ops_endpoint, commands, start));
    // `Control::Stop` is sent once, and waits for room in the channel, unlike the commands of a reload.
    let (mut stop_requested, mut stop_sent) = (false, false);
    loop {
        let command = tokio::select! {
            ended = &mut node => return ended,
            room = control.reserve(), if stop_requested && !stop_sent => {
                stop_sent = true;
                if let Ok(room) = room {
                    room.send(Control::Stop);
                }
                continue;
            }
            _ = terminate.recv() => {
                stop_requested = true;
                continue;
            }
            _ = interrupt.recv() => {
                stop_requested = true;
                continue;
            }
            // A reload changes only discovery's address and whether to record. If the file can't be read, the node
            // keeps its configuration.
            Some(()) = hangup.recv() => match read(Precedence::File) {
                Ok(config) => {
                    let _ = control.try_send(Control::SetRecording(config.operator.record.on));
                    Control::SetDiscoveryAddress(config.discovery)
                }
                Err(e) => {
                    HOST.log(format_args!("reload failed, configuration unchanged: {e}"));
                    continue;
                }
            },
        };
        // A node that is stopping has closed the channel.
        let _ = control.try_send(command);
    }
}
