//! Determines which team sent a request.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::ids::TeamName;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::callers::headers;

/// The team of all requests in a deployment whose bundle has no teams.
const DEFAULT_TEAM: &str = "everybody";

/// Finds the team of a request: the one that its API key belongs to or, for a team
/// without keys, the one named in the [`headers::TEAM`] header.
///
/// # Errors
///
/// [`ProblemCode::Unauthorized`] if neither identifies a team.
pub fn find_team(headers: &HeaderMap, bundle: &Bundle) -> Result<TeamName, Problem> {
    if bundle.teams.is_empty() {
        return TeamName::new(DEFAULT_TEAM).map_err(|err| unauthorized(&err.to_string()));
    }
    if let Some(key) = bearer_token(headers)? {
        return find_team_by_key(key, bundle);
    }
    let team_name = headers::header_text(headers, headers::TEAM)?
        .ok_or_else(|| unauthorized("show the team's key as a bearer token"))?;
    let name = TeamName::new(team_name).map_err(|_| unauthorized("there is no such team"))?;
    match bundle.teams.get(&name) {
        Some(team) if team.key_hashes.is_empty() => Ok(name),
        Some(_) => Err(unauthorized("this team must show its key as a bearer token")),
        None => Err(unauthorized("there is no such team")),
    }
}

fn bearer_token(headers: &HeaderMap) -> Result<Option<&str>, Problem> {
    let Some(value) = headers.get(AUTHORIZATION) else { return Ok(None) };
    let text = value.to_str().ok().and_then(|text| text.strip_prefix("Bearer "));
    text.map(Some).ok_or_else(|| unauthorized("the authorization header is no bearer token"))
}

/// Finds the team of an API key. Hashes are compared instead of keys, so that the time
/// of the comparison reveals nothing about a valid key.
fn find_team_by_key(key: &str, bundle: &Bundle) -> Result<TeamName, Problem> {
    let hash = blake3::hash(key.as_bytes()).to_hex().to_string();
    let team = bundle.teams.iter().find(|(_, team)| team.key_hashes.contains(&hash));
    team.map(|(name, _)| name.clone()).ok_or_else(|| unauthorized("no team has this key"))
}

fn unauthorized(why: &str) -> Problem {
    Problem::not_run(ProblemCode::Unauthorized, why)
}
