//! Test environment of a node: stub cache servers, origin, discovery and clients, on loopback sockets.
#![allow(dead_code, missing_docs)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// Time-out after which a test counts as hung. It bounds nothing else.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(30);

pub const SETTINGS: &str = r#"{"balancers":1,"me":0,"classes":[
 {"name":"read","deadlineUs":20000000,"goalTimeUs":2000000,"lateValue":1.0,"gain":1.0,
 "effect":"pure"},
 {"name":"once","deadlineUs":20000000,"goalTimeUs":1000000,"gain":8.0,"effect":"side_effect"},
 {"name":"brief","deadlineUs":400000,"goalTimeUs":400000,"gain":1.0,"effect":"pure"}],
 "realms":[{"name":"acme","quotaPerS":1000}],"discovery":"push","zones":["a"],"machineTypes":["m","origin"],
 "specifics":{"mode":"aside","originKind":1},"report":{"fields":["lat_ms","busy"]},
 "limits":{"maxAttempts":3,"mayDuplicate":true,"mayCancel":true,"multiplex":32,"idleCloseUs":60000000,
 "connectTimeoutUs":5000000,"maxOpen":1000,"maxRetryAfterUs":600000,"peers":true},
 "guarantees":{"coldUs":10000000,"drainGraceUs":500000},"periodUs":1000}"#;

/// Path for a file or folder of a test. It contains the process id, because the same tests may run in parallel.
pub fn scratch_path(name: &str) -> String {
    let folder = format!("{}/process-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::create_dir_all(&folder).unwrap();
    format!("{folder}/{name}")
}

/// How a stub server reacts to a command or call.
pub enum Reaction {
    Answer(Vec<u8>),
    /// Answers, closes the connection, and then notifies the test.
    AnswerAndClose(Vec<u8>, Mutex<Sender<()>>),
    Reset,
    Silence,
}

pub fn hit(value: &str) -> Reaction {
    Reaction::Answer(
        format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$17\r\nlat_ms=5,busy=0.1\r\n", value.len())
            .into_bytes(),
    )
}

pub fn miss() -> Reaction {
    Reaction::Answer(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec())
}

/// The answer to `PING`, which a node sends as a fence to check that responses are in order.
pub fn pong() -> Reaction {
    Reaction::Answer(b"+PONG\r\n".to_vec())
}

pub fn http(status: &str, body: &str) -> Reaction {
    let length = body.len();
    Reaction::Answer(format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes())
}

/// Reads a command; `None` at the end of the connection.
pub fn read_command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let count: usize = line.strip_prefix('*')?.trim_end().parse().ok()?;
    (0..count).map(|_| read_bulk(from)).collect()
}

fn read_bulk(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let length: usize = line.strip_prefix('$')?.trim_end().parse().ok()?;
    let mut bytes = vec![0; length + 2];
    from.read_exact(&mut bytes).ok()?;
    bytes.truncate(length);
    String::from_utf8(bytes).ok()
}

/// Reads an HTTP request: its request line, its headers in their order, and its body.
pub fn read_call(from: &mut impl BufRead) -> Option<Vec<String>> {
    let (mut lines, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = n.trim().parse().ok()?;
        }
        lines.push(line);
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    lines.push(String::from_utf8(body).ok()?);
    Some(lines)
}

/// Reads one whole request from a connection; `None` at its end.
pub type Reader = fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>;

/// Starts a server that answers each command or call with the reaction of `react`, and returns its address.
pub fn serve(read: Reader, react: impl Fn(&[String]) -> Reaction + Send + Sync + 'static) -> SocketAddr {
    serve_on(TcpListener::bind("127.0.0.1:0").unwrap(), read, react)
}

/// The same on an existing listener.
pub fn serve_on(
    listener: TcpListener,
    read: Reader,
    react: impl Fn(&[String]) -> Reaction + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let react = Arc::new(react);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let react = react.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while let Some(asked) = read(&mut reader) {
                    let reaction = if asked == ["PING"] { pong() } else { react(&asked) };
                    match reaction {
                        Reaction::Answer(bytes) if stream.write_all(&bytes).is_ok() => {}
                        Reaction::Silence => {}
                        Reaction::AnswerAndClose(bytes, closed) => {
                            stream.write_all(&bytes).unwrap();
                            stream.shutdown(std::net::Shutdown::Both).unwrap();
                            let _ = closed.lock().unwrap().send(());
                            return;
                        }
                        _ => return,
                    }
                }
            });
        }
    });
    address
}

/// Returns a function that forwards the commands and calls of a server to the test.
pub fn forward_to(to: Sender<Vec<String>>) -> impl Fn(&[String]) + Send + Sync {
    let to = Mutex::new(to);
    move |asked| to.lock().unwrap().send(asked.to_vec()).unwrap_or_default()
}

/// A cache server that answers each command only when the test signals it. Returns its address, the commands it has
/// received, and the sender of the signal.
pub fn held_server(
    value: impl Fn(&[String]) -> String + Send + Sync + 'static,
) -> (SocketAddr, Receiver<Vec<String>>, Sender<()>) {
    let (arrived, commands) = channel();
    let (release, wait) = channel::<()>();
    let (arrived, wait) = (forward_to(arrived), Mutex::new(wait));
    let server = serve(read_command, move |asked| {
        arrived(asked);
        let _ = wait.lock().unwrap().recv();
        hit(&value(asked))
    });
    (server, commands, release)
}

/// A stub of discovery with a server list that can be changed. It records the calls that the node makes.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    calls: Receiver<String>,
}

impl Discovery {
    pub fn start(members: &str) -> Self {
        let state = Arc::new((Mutex::new((1, members.to_owned())), Condvar::new()));
        let (sender, calls) = channel();
        let (list_state, sender) = (state.clone(), Mutex::new(sender));
        let address = serve(read_call, move |asked| {
            let sender: Sender<String> = sender.lock().unwrap().clone();
            let _ = sender.send(asked[0].clone());
            let after =
                asked[0].split("after=").nth(1).and_then(|a| a.split('&').next()).map(|a| a.parse().unwrap());
            let (lock, changed) = &*list_state;
            let mut list = lock.lock().unwrap();
            // A watch waits, however long, for a newer revision.
            while after.is_some_and(|after: u64| after >= list.0) {
                list = changed.wait(list).unwrap();
            }
            http("200 OK", &format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, list.0, list.1))
        });
        Discovery { address, state, calls }
    }

    /// Waits until the node watches for changes after `revision`, which shows that it has received that revision.
    pub fn wait_for_watch_after(&self, revision: u64) {
        let wanted = format!("after={revision}&");
        while !self.calls.recv_timeout(HANG_TIMEOUT).expect("no call to discovery").contains(&wanted) {}
    }

    pub fn change(&self, revision: u64, members: &str) {
        *self.state.0.lock().unwrap() = (revision, members.to_owned());
        self.state.1.notify_all();
    }
}

pub fn member(id: &str, address: SocketAddr, kind: &str, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"{kind}","cell":0,"phase":"{phase}",
        "size":1.0,"up_since_ms":0}}"#
    )
}

/// A node under test; killed at the end of the test.
pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    /// Address of the operations endpoint.
    pub ops_address: Option<SocketAddr>,
    /// Log lines after the start.
    log: Receiver<String>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn config(name: &str, discovery: SocketAddr, sockets: usize) -> String {
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"settings":{SETTINGS}}}"#
    )
}

/// Writes a configuration file, and returns a command that starts a node with it.
pub fn node_command(name: &str, discovery: SocketAddr, sockets: usize, shell_prefix: &str) -> Command {
    let path = scratch_path(&format!("{name}.json"));
    std::fs::write(&path, config(name, discovery, sockets)).unwrap();
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("{shell_prefix} exec \"$0\"")).arg(env!("CARGO_BIN_EXE_mothpier"));
    command.env("ROUTER_CONFIG", path).env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    command
}

impl Node {
    pub fn start(name: &str, discovery: &Discovery) -> Self {
        Node::start_with(name, discovery, 1024, "")
    }

    /// Starts a node and waits until it has received the first server list.
    pub fn start_with(name: &str, discovery: &Discovery, sockets: usize, shell_prefix: &str) -> Self {
        Node::run(node_command(name, discovery.address, sockets, shell_prefix), discovery)
    }

    pub fn run(command: Command, discovery: &Discovery) -> Self {
        let node = Node::spawn(command);
        discovery.wait_for_watch_after(1);
        node
    }

    /// Starts a node and waits until it listens.
    pub fn spawn(mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut ops_address = None;
        let address = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "the node ended during its start");
            if let Some((_, address)) = line.trim_end().split_once("serving the operations endpoint on ") {
                ops_address = Some(address.parse().unwrap());
            }
            if let Some((_, address)) = line.trim_end().split_once(" listens on ") {
                break address.parse().unwrap();
            }
        };
        let (logged, lines) = channel();
        thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| logged.send(line)));
        Node { child, address, ops_address, log: lines }
    }

    /// Sends the process a signal, by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }

    /// Waits for a log line that contains a text.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line =
                self.log.recv_timeout(HANG_TIMEOUT).unwrap_or_else(|_| panic!("no log line with {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// CPU time that the process has used, in clock ticks of 10 ms.
    pub fn cpu_ticks(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = text.rsplit(") ").next().unwrap().split(' ').collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// The remaining log lines, up to the end of the process.
    pub fn remaining_log(&self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Ok(line) = self.log.recv_timeout(HANG_TIMEOUT) {
            lines.push(line);
        }
        lines
    }

    /// Makes a call to the operations endpoint, and returns the whole response.
    pub fn call(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.ops_address.expect("no operations endpoint")).unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        stream.write_all(format!("{line} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Makes a call to the operations endpoint, and returns the status code.
    pub fn status(&self, line: &str) -> u16 {
        self.call(line).split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    /// Waits until the node reports ready.
    pub fn wait_until_ready(&self) {
        let begun = std::time::Instant::now();
        while self.status("GET /ready") != 200 {
            assert!(begun.elapsed() < HANG_TIMEOUT, "never ready");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// The value of a metric, by its name with labels.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let text = self.call("GET /metrics");
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|value| value.parse().ok())
    }

    /// Waits until a metric has a value.
    pub fn wait_for_metric(&self, name: &str, value: u64) {
        let begun = std::time::Instant::now();
        while self.metric(name) != Some(value) {
            assert!(begun.elapsed() < HANG_TIMEOUT, "{name} is {:?}, not {value}", self.metric(name));
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        Client(BufReader::new(stream))
    }

    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(bytes.as_ref()).unwrap();
    }

    pub fn send(&mut self, words: &[&str]) {
        let mut bytes = format!("*{}\r\n", words.len());
        words.iter().for_each(|w| bytes += &format!("${}\r\n{w}\r\n", w.len()));
        self.write(bytes);
    }

    /// The next answer: an error or simple string as its line, a bulk string with a leading `$`, or `end` if the
    /// connection has ended.
    pub fn answer(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => return "end".into(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return "end".into(),
            other => other.unwrap(),
        };
        let line = line.trim_end().to_owned();
        match line.strip_prefix('$').map(|n| n.parse::<usize>()) {
            Some(Ok(length)) => {
                let mut value = vec![0; length + 2];
                self.0.read_exact(&mut value).unwrap();
                format!("${}", String::from_utf8_lossy(&value[..length]))
            }
            _ => line,
        }
    }

    /// Reads and drops a number of bytes.
    pub fn discard(&mut self, bytes: usize) {
        self.0.read_exact(&mut vec![0; bytes]).unwrap();
    }

    /// Shuts down the sending side of the connection.
    pub fn shutdown_sending(&self) {
        self.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// The sending side, for use by another thread.
    pub fn sending_side(&self) -> TcpStream {
        self.0.get_ref().try_clone().unwrap()
    }

    /// Whether the node has closed the connection.
    pub fn has_ended(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let ended = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        stream.set_nonblocking(false).unwrap();
        ended
    }

    pub fn into_stream(self) -> TcpStream {
        self.0.into_inner()
    }

    pub fn ask(&mut self, words: &[&str]) -> String {
        self.send(words);
        self.answer()
    }
}

/// Starts a node with an operations endpoint and some replacements in the text of its settings.
pub fn start_node(name: &str, discovery: &Discovery, replacements: &[(&str, &str)]) -> Node {
    let path = scratch_path(&format!("{name}-crossing.json"));
    let mut text = config(name, discovery.address, 1024);
    for (from, to) in replacements {
        assert!(text.contains(from), "{from} is not in the settings");
        text = text.replace(from, to);
    }
    std::fs::write(&path, text).unwrap();
    let mut command = node_command(name, discovery.address, 1024, "");
    command.env("ROUTER_CONFIG", path).env("ROUTER_OPS", "127.0.0.1:0");
    let node = Node::run(command, discovery);
    node.wait_until_ready();
    node
}

/// Deadlines and time-outs so long that none is reached in a test.
pub const LONG_DEADLINES: [(&str, &str); 3] = [
    (r#""deadlineUs":20000000,"goalTimeUs":2000000,"#, r#""deadlineUs":600000000,"goalTimeUs":600000000,"#),
    (r#""deadlineUs":20000000,"goalTimeUs":1000000,"#, r#""deadlineUs":600000000,"goalTimeUs":600000000,"#),
    (r#""connectTimeoutUs":5000000"#, r#""connectTimeoutUs":600000000"#),
];

/// A listener whose accept queue is full, so that connections to it are not established.
pub struct FullListener {
    listener: TcpListener,
    filler: TcpStream,
}

impl FullListener {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        // The queue holds one connection: the next gets no response until that one is accepted.
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        FullListener { listener, filler }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the connection that fills the queue: connections are established from now on.
    pub fn open(self) -> TcpListener {
        drop(self.listener.accept().unwrap());
        drop(self.filler);
        self.listener
    }
}

pub fn reader(stream: TcpStream) -> BufReader<TcpStream> {
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    BufReader::new(stream)
}

/// The first command or call that arrives on any connection.
pub fn first_request(
    listener: TcpListener,
    read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
) -> Vec<String> {
    let (sender, commands) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let sender = sender.clone();
            thread::spawn(move || read(&mut reader(stream)).map(|asked| sender.send(asked)));
        }
    });
    commands.recv_timeout(HANG_TIMEOUT).unwrap()
}
