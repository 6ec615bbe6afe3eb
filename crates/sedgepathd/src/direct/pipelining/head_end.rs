//! Finds where a request head ends, without parsing it.

/// What is known of the current line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    CarriageReturn,
    Text,
}

/// Searches the empty line that ends a request head, in any number of parts.
///
/// As in `httparse`, a line ends with a line feed, and empty lines before the request line belong to the
/// head.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeadEndSearch {
    line: Line,
    has_request_line: bool,
}

impl HeadEndSearch {
    /// Returns how many of the next bytes belong to the head, if it ends within them.
    pub fn find_in(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut line_start = 0;
        while let Some(length) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
            self.extend_line(&bytes[line_start..line_start + length]);
            line_start += length + 1;
            let is_empty = std::mem::take(&mut self.line) != Line::Text;
            if is_empty && self.has_request_line {
                return Some(line_start);
            }
            self.has_request_line |= !is_empty;
        }
        self.extend_line(&bytes[line_start..]);
        None
    }

    /// Returns whether a part of the head has been searched, beside empty lines before it.
    pub fn has_begun(&self) -> bool {
        self.has_request_line || self.line == Line::Text
    }

    fn extend_line(&mut self, bytes: &[u8]) {
        self.line = match (self.line, bytes) {
            (line, []) => line,
            (Line::Empty, [b'\r']) => Line::CarriageReturn,
            _ => Line::Text,
        };
    }
}
