//! What a worker tells on its standard output, for whoever judges it afterwards.

use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;

/// What a worker does, as a line of text. It outlives the worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Line {
    /// A request runs.
    Run(SmolStr),
    /// An order was accepted from this holder with this fencing token.
    Order(SmolStr, u64),
    /// A load from the weight store begins.
    Fetch,
    /// An order asked for more than its memory holds.
    Overcommitted,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Run(id) => write!(f, "run {id}"),
            Self::Order(holder, fence) => write!(f, "order {holder} {fence}"),
            Self::Fetch => f.write_str("fetch"),
            Self::Overcommitted => f.write_str("overcommitted"),
        }
    }
}

impl FromStr for Line {
    type Err = UnknownLine;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let words: Vec<&str> = text.split(' ').collect();
        match words[..] {
            ["run", id] => Ok(Self::Run(id.into())),
            ["order", holder, fence] => {
                let fence = fence.parse().map_err(|_| UnknownLine)?;
                Ok(Self::Order(holder.into(), fence))
            }
            ["fetch"] => Ok(Self::Fetch),
            ["overcommitted"] => Ok(Self::Overcommitted),
            _ => Err(UnknownLine),
        }
    }
}

/// A line that no worker writes.
#[derive(Clone, Copy, Debug)]
pub struct UnknownLine;

impl fmt::Display for UnknownLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a line of a worker")
    }
}

impl std::error::Error for UnknownLine {}
