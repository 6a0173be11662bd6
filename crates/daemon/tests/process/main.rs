//! Tests of real `chestnutdriftd` processes. They wait for conditions, never for a fixed time.

mod bad_input;
mod booking;
mod chat;
mod disk;
mod fact_file;
mod fixture;
mod gateway_settings;
mod input_queue;
mod lifecycle;
mod link_queue;
mod samples;
mod settings;
