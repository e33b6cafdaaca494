//! The retry budget that is shared by all classes without a budget of their own: a token bucket
//! that first attempts fill and retries empty.

use std::cell::Cell;
use std::rc::Rc;

// One token stands for a tenth of an attempt. The constants allow retries for a fifth of all
// requests, and a few dozen retries in a row: enough for the time until a failing server is
// ejected, too few for a retry storm.

/// Tokens that a first attempt adds.
const TOKENS_PER_FIRST_ATTEMPT: u64 = 2;
/// Tokens that a retry removes.
const TOKENS_PER_RETRY: u64 = 10;
const INITIAL_TOKENS: u64 = 50;
const MAX_TOKENS: u64 = 400;

/// A count of tokens that all clones share.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket(Rc<Cell<u64>>);

impl TokenBucket {
    pub fn new() -> TokenBucket {
        TokenBucket(Rc::new(Cell::new(INITIAL_TOKENS)))
    }

    pub fn record_first_attempt(&self) {
        self.0.set((self.0.get() + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS));
    }

    pub fn allows_retry(&self) -> bool {
        self.0.get() >= TOKENS_PER_RETRY
    }

    pub fn record_retry(&self) {
        self.0.set(self.0.get().saturating_sub(TOKENS_PER_RETRY));
    }

    pub fn tokens(&self) -> u64 {
        self.0.get()
    }

    pub fn set_tokens(&self, tokens: u64) {
        self.0.set(tokens);
    }
}
