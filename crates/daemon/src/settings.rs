//! What is set: the configuration, its classes, and the operator's own file.

pub mod active;
pub mod check;
pub mod classes;
pub mod config;
pub mod descriptors;
pub mod operator;
