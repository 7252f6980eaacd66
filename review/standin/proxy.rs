//! A proxy in front of a replica for the channels of one node, which can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Proxy {
    pub address: SocketAddr,
    target: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    cut: Arc<Mutex<bool>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            target,
            open: Arc::default(),
            cut: Arc::default(),
        });
        proxy.accept(listener);
        proxy
    }

    /// Refuses new channels and closes the open ones.
    pub fn cut(&self) {
        *self.cut.lock().unwrap() = true;
        for stream in self.open.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        // Wakes the accepting thread, which then closes the listener.
        drop(TcpStream::connect_timeout(
            &self.address,
            Duration::from_millis(100),
        ));
    }

    pub fn heal(self: &Arc<Self>) {
        *self.cut.lock().unwrap() = false;
        for _ in 0..50 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return self.accept(listener);
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("the proxy can't listen again");
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let proxy = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if *proxy.cut.lock().unwrap() {
                    return;
                }
                let Ok(server) = TcpStream::connect(proxy.target) else {
                    continue;
                };
                drop(stream.set_nodelay(true));
                drop(server.set_nodelay(true));
                for (from, to) in [(&stream, &server), (&server, &stream)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    proxy.open.lock().unwrap().extend(from.try_clone());
                    thread::spawn(move || pass_on(from, to));
                }
            }
        });
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16_384];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    drop(to.shutdown(Shutdown::Write));
}
