//! The steering node of sedgepath as a state machine without input or output.
pub mod table;
