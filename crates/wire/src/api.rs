//! JSON bodies of the HTTP interfaces.

pub mod chat;
pub mod engine;
pub mod operator;
pub mod problem;
pub mod trainer;
pub mod upstream;
