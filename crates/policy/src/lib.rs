//! chalkwalk's decision module and the plain types it is called with.

mod plain;
mod policy;

pub use plain::{Cache, Carrier, Ending, Entry, Lkp, Standing, Tenths};
pub use policy::Router;
