//! Scale runs: the control code of many nodes is run at several sizes, what each role costs is measured, a model is
//! fitted over the sizes, and the capacity page is written from the runs that were kept.

pub mod arithmetic;
pub mod fit;
pub mod kept;
pub mod models;
pub mod page;
pub mod plot;
pub mod real_sockets;
pub mod record;
pub mod records;
pub mod report;
pub mod scenario;
pub mod series;
pub mod summary;
pub mod target;
pub mod text;
pub mod usage;
pub mod virtual_clock;
