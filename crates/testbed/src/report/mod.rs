//! What a run is told by: a table on the terminal, JSON, and a page with charts that opens offline.

pub mod page;
pub mod table;
