//! Starts the real binaries as separate processes on loopback, and waits on
//! states, never on fixed sleeps. Every process is ended by its id on drop.

#![allow(dead_code, reason = "each file of process tests uses a part of it")]

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// A state that has not come by then will not come.
const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between two looks at a state.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Addresses of one VM's programs.
#[derive(Debug, Clone)]
pub struct VmPorts {
    pub entry: SocketAddr,
    pub feed: SocketAddr,
    pub vault: SocketAddr,
    pub settings: PathBuf,
}

/// One process of the system, ended when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    pub fn start(binary: &Path, arguments: &[String], log: &Path) -> Self {
        let output = fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("log file");
        let errors = output.try_clone().expect("log file");
        let child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("binary starts");
        Self { child }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([name, &id])
            .status()
            .expect("kill runs");
        assert!(sent.success(), "signal {name} to {id}");
    }

    /// The process is stopped by a signal, as the kernel shows it.
    pub fn is_stopped(&self) -> bool {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        stat.is_ok_and(|text| text.contains(") T "))
    }

    /// Ends the process as a crash would.
    pub fn kill(mut self) {
        self.child.kill().expect("own child");
        self.child.wait().expect("own child");
    }

    /// Waits until the process has ended of itself, and gives its exit code.
    pub fn wait(mut self) -> Option<i32> {
        wait_for("process to end", || {
            self.child.try_wait().expect("own child")
        })
        .code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already needs neither.
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// A deployment of real processes on loopback.
pub struct Fleet {
    pub folder: PathBuf,
    pub object_api: SocketAddr,
    pub vms: Vec<VmPorts>,
}

impl Fleet {
    /// Plans `vms` VMs whose files live in a fresh folder under the target directory.
    pub fn plan(name: &str, vms: usize) -> Self {
        Self::plan_with(name, vms, |_vm, _first_port| String::new())
    }

    /// As [`Fleet::plan`], with a vault on each VM, each in a zone of its own.
    pub fn plan_with_vaults(name: &str, vms: usize) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        Self::plan_with(name, vms, |vm, first_port| {
            let data = folder.join(format!("vault-{vm}"));
            let at = loopback(first_port + 4);
            format!(
                r#", "vault_listen": "{at}", "data_folder": "{}""#,
                data.display()
            )
        })
    }

    fn plan_with(name: &str, vms: usize, more: impl Fn(usize, u16) -> String) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(folder.join("config")).expect("folder");
        let base = free_ports();
        let object_api = loopback(base);
        let vms = (0..vms)
            .map(|index| {
                let first = base + 50 + 10 * index as u16;
                let settings = folder.join(format!("vm-{index}.json"));
                let text = format!(
                    r#"{{"deployment": "test", "node": "vm-{index}", "zone": "zone-{index}",
                        "object_api": "{object_api}", "drain_linger_ms": 200,
                        "entry_listen": "{}", "draft_listen": "{}",
                        "feed_listen": "{}", "steward_listen": "{}"{}}}"#,
                    loopback(first),
                    loopback(first + 1),
                    loopback(first + 2),
                    loopback(first + 3),
                    more(index, first),
                );
                fs::write(&settings, text).expect("settings");
                VmPorts {
                    entry: loopback(first),
                    feed: loopback(first + 2),
                    vault: loopback(first + 4),
                    settings,
                }
            })
            .collect();
        Self {
            folder,
            object_api,
            vms,
        }
    }

    /// Starts the stand-ins with these arguments besides the port and the VMs.
    pub fn standin(&self, arguments: &[&str]) -> Process {
        let binary = workspace_binary("firweir-standin");
        let mut all = vec!["--port".to_owned(), self.object_api.port().to_string()];
        all.extend(arguments.iter().map(|&text| text.to_owned()));
        all.extend(self.vms.iter().map(|vm| vm.settings.display().to_string()));
        let process = Process::start(&binary, &all, &self.log("standin"));
        wait_for("stand-ins", || {
            self.log_has("standin", "standin ready").then_some(())
        });
        process
    }

    /// Starts one program of one VM.
    pub fn program(&self, binary: &str, vm: usize) -> Process {
        let settings = self.vms[vm].settings.display().to_string();
        let name = format!("{binary}-{vm}");
        let path = workspace_binary(&format!("firweir-{binary}"));
        Process::start(
            &path,
            &["--settings".to_owned(), settings],
            &self.log(&name),
        )
    }

    /// Writes a file of the configuration folder.
    pub fn write_config(&self, file: &str, text: &str) {
        fs::write(self.folder.join("config").join(file), text).expect("configuration");
    }

    /// Runs `firweirctl` and gives its exit code and output.
    pub fn ctl(&self, command: &str) -> (Option<i32>, String) {
        let api = self.object_api.to_string();
        let config = self.folder.join("config").display().to_string();
        let arguments = match command {
            "check" => vec![command, &config],
            "status" => vec![command, "--object-api", &api],
            _ => vec![command, "--object-api", &api, &config],
        };
        let output = Command::new(env!("CARGO_BIN_EXE_firweirctl"))
            .args(arguments)
            .output()
            .expect("firweirctl runs");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    pub fn log_has(&self, name: &str, text: &str) -> bool {
        self.read_log(name).contains(text)
    }

    pub fn read_log(&self, name: &str) -> String {
        fs::read_to_string(self.log(name)).unwrap_or_default()
    }

    fn log(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }
}

/// Looks until the state has come, and gives what it holds.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if let Some(found) = look() {
            return found;
        }
        std::thread::sleep(LOOK_EVERY);
    }
    panic!("waited {PATIENCE:?} for {what}");
}

/// A configuration file with the feed `lots`, of eight samples a step.
pub fn feeds(fleet: &Fleet) -> String {
    let trainer = format!("127.0.0.1:{}", fleet.object_api.port() + 2);
    format!(
        r#"{{"feeds": {{"lots": {{
            "service": "models", "model": "recipes", "trainer": "{trainer}",
            "groups_per_step": 2, "samples_per_group": 4, "max_tokens": 200,
            "staleness_bound_versions": 3, "draft_timeout_ms": 5000
        }}}}}}"#
    )
}

/// The status and whole text of one HTTP exchange, or `None` if it broke off.
pub fn post(to: SocketAddr, path: &str, headers: &str, body: &str) -> Option<(u16, String)> {
    exchange("POST", to, path, headers, body)
}

/// The status and whole text of a GET, or `None` if it broke off.
pub fn get(to: SocketAddr, path: &str) -> Option<(u16, String)> {
    exchange("GET", to, path, "", "")
}

fn exchange(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &str,
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text))
}

/// A binary of the workspace that stands beside this crate's own.
fn workspace_binary(name: &str) -> PathBuf {
    let own = Path::new(env!("CARGO_BIN_EXE_firweirctl"));
    let path = own.with_file_name(name);
    assert!(
        path.exists(),
        "{name} is not built: run cargo test --workspace"
    );
    path
}

/// First port of a run of ports that are free.
///
/// Below the range from which the system takes ports for outgoing connections:
/// a connection of another test would take a planned port away now and then.
fn free_ports() -> u16 {
    const FIRST: u16 = 10_000;
    const RUN: u16 = 200;
    const RUNS: u16 = 100;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..RUNS {
        let next = NEXT.fetch_add(1, Ordering::SeqCst);
        let run = (std::process::id() as u16)
            .wrapping_mul(7)
            .wrapping_add(next)
            % RUNS;
        let base = FIRST + run * RUN;
        let free = |port: u16| TcpListener::bind(loopback(port)).is_ok();
        if (base..base + RUN).all(free) {
            return base;
        }
    }
    panic!("no run of {RUN} free ports");
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
