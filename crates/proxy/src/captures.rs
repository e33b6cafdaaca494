//! What the command line does with captures. Each command returns the text that it prints.

mod cut;
mod info;
mod replay;
mod segment;
mod show;

pub use cut::cut;
pub use info::info;
pub use replay::replay_all;
pub use show::show;
