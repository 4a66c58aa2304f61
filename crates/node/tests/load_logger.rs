//! Tests of reading a process's memory and CPU time from procfs.

use firweir_node::load_logger::cpu_time_ms;
use firweir_node::load_logger::peak_memory_mb;

#[test]
fn memory_and_time_are_read() {
    let status = "Name:\tfirweir\nVmPeak:\t  300000 kB\nVmHWM:\t   20480 kB\nThreads:\t2\n";
    assert_eq!(peak_memory_mb(status), Some(20));
    assert_eq!(peak_memory_mb("Name:\tfirweir\n"), None);
    let stat = "77 (a (strange) name) S 1 77 77 0 -1 4194560 9 0 0 0 250 50 0 0 20 0 2 0 1 1 1";
    assert_eq!(cpu_time_ms(stat), Some(3_000));
    for malformed in ["", "77 name S 1", "77 (name) S 1 2"] {
        assert_eq!(cpu_time_ms(malformed), None, "{malformed}");
    }
}
