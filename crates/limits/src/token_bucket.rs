//! The retry budget that all classes without one of their own share: first attempts earn tokens,
//! retries cost them.

use std::cell::Cell;
use std::rc::Rc;

/// A fifth of all requests may be sent once more, and a few dozen in a row: enough for a server
/// that fails until it is ejected, too little for a retry storm. A token is a tenth of an attempt:
/// what a first attempt earns, what a retry costs, how many there are at first, and the most.
const EARNED_BY_FIRST_ATTEMPT: u64 = 2;
const COST_OF_RETRY: u64 = 10;
const INITIAL_TOKENS: u64 = 50;
const MAX_TOKENS: u64 = 400;

/// Tokens that every clone shares.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket(Rc<Cell<u64>>);

impl TokenBucket {
    pub fn new() -> TokenBucket {
        TokenBucket(Rc::new(Cell::new(INITIAL_TOKENS)))
    }

    pub fn record_first_attempt(&self) {
        self.0.set((self.0.get() + EARNED_BY_FIRST_ATTEMPT).min(MAX_TOKENS));
    }

    pub fn allows_retry(&self) -> bool {
        self.0.get() >= COST_OF_RETRY
    }

    pub fn record_retry(&self) {
        self.0.set(self.0.get().saturating_sub(COST_OF_RETRY));
    }

    pub fn tokens(&self) -> u64 {
        self.0.get()
    }

    pub fn set_tokens(&self, tokens: u64) {
        self.0.set(tokens);
    }
}
