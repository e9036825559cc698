//! Scale runs: the control code of many nodes is run at several sizes, what each role costs is measured, a model is
//! fitted over the sizes, and the capacity page is written from the runs that were kept.

pub mod real_sockets;
pub mod record;
pub mod scenario;
pub mod usage;
pub mod virtual_clock;
