//! What a process uses of its machine, from the proc file system: memory, open descriptors, and bytes that have arrived
//! on its connections and that it has not read.
use std::fs;
use std::net::{IpAddr, SocketAddr};

/// Bytes in one kB of the proc file system.
const BYTES_PER_KB: u64 = 1024;
/// Column of `/proc/net/tcp` with the local address.
const LOCAL_ADDRESS_COLUMN: usize = 1;
/// Column of `/proc/net/tcp` with the lengths of the send queue and of the receive queue.
const QUEUES_COLUMN: usize = 4;

/// Returns the resident memory of a process in bytes; `None` if the process has ended.
pub fn resident_bytes(process_id: u32) -> Option<u64> {
    status_bytes(process_id, "VmRSS:")
}

/// Returns the largest resident memory of a process since its start in bytes; `None` if the process has ended.
pub fn peak_resident_bytes(process_id: u32) -> Option<u64> {
    status_bytes(process_id, "VmHWM:")
}

/// Returns the number of open file descriptors of a process; `None` if the process has ended.
pub fn open_descriptors(process_id: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{process_id}/fd")).ok()?.count())
}

/// Returns the number of bytes that have arrived on connections of this IPv4 address and were not read; 0 if the proc
/// file system does not tell.
pub fn unread_bytes(ip: IpAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table
        .lines()
        .filter_map(|line| receive_queue(line, ip))
        .sum()
}

/// The length of the receive queue of a line of `/proc/net/tcp`; `None` if its local address is another one.
fn receive_queue(line: &str, ip: IpAddr) -> Option<u64> {
    let columns: Vec<&str> = line.split_whitespace().collect();
    let local = parse_address(columns.get(LOCAL_ADDRESS_COLUMN)?)?;
    if local.ip() != ip {
        return None;
    }
    let (_, receive) = columns.get(QUEUES_COLUMN)?.split_once(':')?;
    u64::from_str_radix(receive, 16).ok()
}

/// Parses an address of `/proc/net/tcp`: the IPv4 address as a number in the byte order of the machine, and the port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::from((ip, port)))
}

/// The value of a field of `/proc/ID/status` that is given in kB.
fn status_bytes(process_id: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let field_text = status.lines().find(|line| line.starts_with(field))?;
    let kilobytes: u64 = field_text.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * BYTES_PER_KB)
}
