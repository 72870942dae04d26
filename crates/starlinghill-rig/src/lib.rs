//! Stand-ins for what surrounds the programs of this repository, on loopback sockets, and faults that tests
//! script for them. No program that is shipped depends on this package.

pub mod world;
