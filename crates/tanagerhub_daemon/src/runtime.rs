//! The threads and the memory settings of the process.

/// Sets up the runtime with `threads` threads; must be called before anything else uses it.
///
/// Also disables transparent huge pages, so that each thread's small heap uses pages of 4 kB
/// instead of 2 MB. A failure to do so is logged.
pub fn prepare_runtime(threads: usize) {
    let config = async_global_executor::GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "traffic".to_owned());
    async_global_executor::init_with_config(config);
    if let Err(error) = rustix::thread::disable_transparent_huge_pages(true) {
        log::warn!(error:%; "transparent huge pages can't be disabled; memory use will be higher");
    }
}
