//! How a run is reported: a table on the terminal, a comparison of several, and a page with charts that opens offline.

mod charts;
pub mod comparison;
pub mod page;
pub mod verdict;
