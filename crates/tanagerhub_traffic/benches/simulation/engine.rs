//! Queueing model of an inference engine with batching, a prefix cache and faults.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Maximum number of requests that an engine runs concurrently.
pub const BATCH_SIZE: usize = 16;
/// Maximum number of tokens computed per simulation event.
pub const TOKENS_PER_CHUNK: u32 = 8;
/// Number of tokens in a prefix block.
const BLOCK_TOKENS: u32 = 64;
/// Maximum number of prefix blocks in each of the two generations of the cache.
const CACHE_GENERATION_BLOCKS: usize = 1_500;
/// Prompt tokens computed per second.
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Minimum time to the first token, also of a prompt that is entirely cached.
const MIN_PREFILL_S: f64 = 0.015;
/// Time of a decoding step, without the share of each request in the batch.
const DECODE_STEP_S: f64 = 0.025;
/// Time that each request in the batch adds to a decoding step.
const DECODE_STEP_PER_REQUEST_S: f64 = 0.001;

/// One attempt to run a request on an engine.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: u64,
    pub attempt: u64,
    pub request: usize,
    pub priority: u8,
    pub blocks: Vec<u64>,
    pub tokens: u32,
    pub total: u32,
}

/// An engine: the head of one group.
#[derive(Debug, Default)]
pub struct Engine {
    pub running: Vec<Job>,
    waiting: VecDeque<Job>,
    pub crashed: bool,
    pub slowdown: f64,
    /// Maximum number of requests during cold start; more crash the engine. `None` once it is warm.
    pub cold_limit: Option<usize>,
    prefilling: usize,
    recent_blocks: HashSet<u64>,
    older_blocks: HashSet<u64>,
    pub blocks_looked_up: u64,
    pub blocks_hit: u64,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            slowdown: 1.0,
            ..Self::default()
        }
    }

    /// Adds a job; returns the jobs that start, each with the time until its first token.
    pub fn add(&mut self, job: Job) -> Vec<(u64, Duration)> {
        let at = self
            .waiting
            .partition_point(|it| it.priority <= job.priority);
        self.waiting.insert(at, job);
        self.start()
    }

    pub fn start(&mut self) -> Vec<(u64, Duration)> {
        let mut started = Vec::new();
        while self.running.len() < BATCH_SIZE {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.prefilling += 1;
            started.push((job.id, self.prefill(&job)));
            self.running.push(job);
        }
        started
    }

    fn prefill(&mut self, job: &Job) -> Duration {
        let hits = job
            .blocks
            .iter()
            .take_while(|it| self.is_cached(**it))
            .count();
        self.blocks_looked_up += job.blocks.len() as u64;
        self.blocks_hit += hits as u64;
        for block in &job.blocks {
            self.cache_block(*block);
        }
        let tokens = u32::try_from(job.blocks.len() - hits).unwrap() * BLOCK_TOKENS;
        let alone_s = MIN_PREFILL_S + f64::from(tokens) / PREFILL_TOKENS_PER_S;
        let concurrency = f64::from(u32::try_from(self.prefilling).unwrap());
        Duration::from_secs_f64(alone_s * concurrency.max(1.0) * self.slowdown)
    }

    fn is_cached(&self, block: u64) -> bool {
        self.recent_blocks.contains(&block) || self.older_blocks.contains(&block)
    }

    fn cache_block(&mut self, block: u64) {
        if self.recent_blocks.len() >= CACHE_GENERATION_BLOCKS {
            self.older_blocks = std::mem::take(&mut self.recent_blocks);
        }
        self.recent_blocks.insert(block);
    }

    /// Records the end of a job's prefill.
    pub fn finish_prefill(&mut self) {
        self.prefilling = self.prefilling.saturating_sub(1);
    }

    /// Returns the number of tokens in the next chunk of a job, and the time to compute them.
    pub fn chunk(&self, job: &Job) -> (u32, Duration) {
        let count = TOKENS_PER_CHUNK.min(job.total - job.tokens);
        let concurrency = f64::from(u32::try_from(self.running.len()).unwrap());
        let step_s = (DECODE_STEP_S + DECODE_STEP_PER_REQUEST_S * concurrency) * self.slowdown;
        (count, Duration::from_secs_f64(step_s * f64::from(count)))
    }

    /// Removes a running or waiting job.
    pub fn remove(&mut self, id: u64) -> Option<Job> {
        if let Some(at) = self.running.iter().position(|job| job.id == id) {
            return Some(self.running.swap_remove(at));
        }
        let at = self.waiting.iter().position(|job| job.id == id)?;
        self.waiting.remove(at)
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        let count = |jobs: usize| u32::try_from(jobs).unwrap();
        (count(self.running.len()), count(self.waiting.len()))
    }

    /// Returns whether a cold engine has more requests than its limit.
    pub fn is_overloaded(&self) -> bool {
        self.cold_limit
            .is_some_and(|limit| self.running.len() + self.waiting.len() > limit)
    }

    /// Crashes the engine; returns its running and waiting jobs.
    pub fn crash(&mut self) -> Vec<Job> {
        self.crashed = true;
        self.prefilling = 0;
        self.recent_blocks.clear();
        self.older_blocks.clear();
        let waiting = std::mem::take(&mut self.waiting);
        self.running.drain(..).chain(waiting).collect()
    }
}
