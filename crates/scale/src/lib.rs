//! Scale runs: runs the control code of many nodes at several sizes, measures what each role costs, fits a
//! model over the sizes, and generates the capacity page from the stored runs.

pub mod arithmetic;
pub mod fit;
pub mod models;
pub mod page;
pub mod plot;
pub mod real_sockets;
pub mod record;
pub mod records;
pub mod report;
pub mod run_groups;
pub mod scenario;
pub mod series;
pub mod summary;
pub mod target;
pub mod text;
pub mod usage;
pub mod virtual_clock;
