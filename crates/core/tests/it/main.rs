//! Tests of the core as a whole, on a small in-memory driver.

mod deployment;
mod world;

mod agreement;
mod bookings;
mod determinism;
mod directory;
mod fleet_settings;
mod lifecycle;
mod records_check;
mod routing;
mod samples;
mod scripts;
mod tables;
mod texts;
