//! Reports of runs: a table for the terminal, a comparison of several runs, and a self-contained
//! HTML page with charts.

mod charts;
pub mod comparison;
pub mod page;
pub mod verdict;
