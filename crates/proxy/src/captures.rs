//! The `capture` commands of the command line. Each returns the text to print.

mod cut;
mod info;
mod replay;
mod segment;
mod show;

pub use cut::cut;
pub use info::info;
pub use replay::replay_all;
pub use show::show;
