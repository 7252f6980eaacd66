//! The process's threads and memory.

/// Sets the runtime up; call it before anything else uses the runtime.
///
/// Without transparent huge pages, each thread's small heap takes pages of 4 kB and not of 2 MB.
pub fn prepare_runtime(threads: usize) {
    let config = async_global_executor::GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "traffic".to_owned());
    async_global_executor::init_with_config(config);
    if let Err(error) = rustix::thread::disable_transparent_huge_pages(true) {
        log::warn!(error:%; "huge pages can't be turned off; memory use will be higher");
    }
}
