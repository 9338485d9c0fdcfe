//! A path to a server that can be cut.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Proxy {
    pub address: SocketAddr,
    to: SocketAddr,
    is_up: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    pub fn start(ip: IpAddr, to: SocketAddr) -> Arc<Proxy> {
        Self::start_at(SocketAddr::new(ip, 8080), to)
    }

    pub fn start_at(address: SocketAddr, to: SocketAddr) -> Arc<Proxy> {
        let proxy = Arc::new(Proxy {
            address,
            to,
            is_up: AtomicBool::new(false),
            open: Mutex::default(),
        });
        proxy.heal();
        proxy
    }

    /// Lets connections through.
    pub fn heal(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("port of a proxy");
        listener.set_nonblocking(true).expect("listener of a proxy");
        self.is_up.store(true, Ordering::SeqCst);
        let serving = Arc::clone(self);
        thread::spawn(move || {
            while serving.is_up.load(Ordering::SeqCst) {
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let Ok(far) = TcpStream::connect(serving.to) else {
                    continue;
                };
                let _ = near.set_nonblocking(false);
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    thread::spawn(move || pass(from, to));
                }
                serving.open.lock().unwrap().extend([near, far]);
            }
        });
    }

    /// Cuts the path: open connections end, and new ones are refused.
    pub fn cut(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream) {
    let mut part = [0; 16384];
    while let Ok(count) = from.read(&mut part) {
        if count == 0 || to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
