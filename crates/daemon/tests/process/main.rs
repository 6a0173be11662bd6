//! Tests of real `chestnutdriftd` processes. They wait for conditions, never for times.

mod bad_input;
mod booking;
mod chat;
mod disk;
mod frame;
mod lifecycle;
mod samples;
mod settings;
