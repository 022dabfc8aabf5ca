#include "consolepage.h"

namespace baobabswitch {

// Texts from the node enter the page as text nodes only, never as HTML.
const std::string_view console_page = R"page(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>baobabswitch console</title>
<style>
:root { color-scheme: light dark; font: 15px/1.4 system-ui, sans-serif; }
body { margin: 0 auto; max-width: 75rem; padding: 1rem; }
h1 { font-size: 1.3rem; }
h2 { font-size: 1.1rem; margin: 1.5rem 0 .5rem; }
table { border-collapse: collapse; }
th, td { border-bottom: 1px solid #8885; padding: .25rem .5rem; text-align: left; vertical-align: top; }
th small { display: block; font-weight: normal; opacity: .7; }
input[type=number] { width: 7rem; }
input:invalid { outline: 2px solid #c33; }
.scroll { overflow-x: auto; }
.box { border: 1px solid #8885; border-radius: .3rem; margin: .5rem 0; padding: .5rem .75rem; }
.good { border-color: #393; }
.bad { border-color: #c33; }
.wait { border-color: #b80; }
pre { margin: 0; white-space: pre-wrap; overflow-wrap: anywhere; }
label { display: inline-block; margin-right: 1rem; }
</style>
</head>
<body>
<h1>baobabswitch console</h1>
<p id="version" role="status">Loading…</p>

<h2>In force</h2>
<div class="scroll"><table id="rollout"></table></div>

<form id="document" autocomplete="off"></form>

<h2>Change</h2>
<p>
<label>Author <input id="author" maxlength="64" required></label>
<label>Reason <input id="reason" maxlength="500" size="40" required></label>
<label>Token <input id="token" type="password" autocomplete="off"></label>
</p>
<p>
<button type="button" id="review">Review the difference</button>
<button type="button" id="apply" disabled>Apply</button>
<button type="button" id="settle" hidden>Ask again for the outcome</button>
<button type="button" id="reload">Discard and read again</button>
</p>
<div id="result" class="box" role="alert" hidden></div>

<h2>Accepted changes</h2>
<div class="scroll"><table id="audit"></table></div>

<script>
"use strict";
const $ = (id) => document.getElementById(id);
const state = { schema: null, base: 0, doc: null, rows: [], pending: null, reviewed: null };

function element(name, text, attributes) {
  const it = document.createElement(name);
  if (text !== undefined && text !== null) it.textContent = text;
  Object.assign(it, attributes || {});
  return it;
}

async function ask(method, path, body, headers) {
  let answer;
  try {
    answer = await fetch(path, { method, body, headers, cache: "no-store" });
  } catch (ex) {
    return { status: 0, body: { error: "no-answer", message: "the node does not answer", remedy: "check the node" } };
  }
  const parsed = await answer.json().catch(() => ({ error: "malformed", message: "the answer is not JSON", remedy: "" }));
  return { status: answer.status, body: parsed };
}

function show(kind, lines) {
  const box = $("result");
  box.className = "box " + kind;
  box.hidden = false;
  box.replaceChildren(element("pre", lines.join("\n")));
}

function showError(title, body) {
  show("bad", [title + ": " + body.message, body.remedy || ""]);
}

function table(id, heading, rows) {
  const head = element("tr");
  heading.forEach((it) => head.append(element("th", it)));
  $(id).replaceChildren(head, ...rows.map((row) => {
    const line = element("tr");
    row.forEach((it) => line.append(element("td", it)));
    return line;
  }));
}

// Makes the input of one field. Its "read" returns the value, or undefined for an empty number or
// the default choice.
function makeInput(field, value) {
  let input;
  if (field.type === "boolean" || field.type === "choice") {
    input = element("select");
    if (!field.required) input.append(element("option", "(default)", { value: "" }));
    const choices = field.type === "choice" ? field.choices : ["true", "false"];
    choices.forEach((it) => input.append(element("option", it, { value: it })));
    input.value = value === undefined ? (field.required ? choices[0] : "") : String(value);
    input.read = () => input.value === "" ? undefined : field.type === "boolean" ? input.value === "true" : input.value;
  } else if (field.type === "number") {
    input = element("input", null, { type: "number", min: field.least, max: field.greatest, step: 1, required: field.required });
    if (field.initial !== undefined) input.placeholder = String(field.initial);
    input.value = value === undefined ? "" : String(value);
    input.read = () => input.value === "" ? undefined : Number(input.value);
  } else {
    input = element("input", null, { type: "text", required: field.required, pattern: "[a-z0-9-]{1,64}", size: 18 });
    if (field.type === "service") input.setAttribute("list", "service-names");
    input.value = value === undefined ? "" : String(value);
    input.read = () => input.value;
  }
  input.title = field.help;
  input.addEventListener("input", changed);
  return input;
}

function changed() {
  $("apply").disabled = true;
  state.reviewed = null;
  const names = state.rows.filter((it) => it.section === "services").map((it) => it.name.value);
  $("service-names").replaceChildren(...names.map((it) => element("option", null, { value: it })));
}

function addRow(section, body, name, values) {
  const line = element("tr");
  const row = { section: section.name, line, inputs: {} };
  if (section.named) {
    row.name = element("input", null, { type: "text", value: name, required: true, pattern: "[a-z0-9-]{1,64}", size: 22 });
    row.name.addEventListener("input", changed);
    const cell = element("td");
    cell.append(row.name);
    line.append(cell);
  }
  section.fields.forEach((field) => {
    row.inputs[field.name] = makeInput(field, values[field.name]);
    const cell = element("td");
    cell.append(row.inputs[field.name]);
    line.append(cell);
  });
  if (section.named) {
    const remove = element("button", "Remove", { type: "button" });
    remove.addEventListener("click", () => {
      state.rows = state.rows.filter((it) => it !== row);
      line.remove();
      changed();
    });
    const cell = element("td");
    cell.append(remove);
    line.append(cell);
  }
  state.rows.push(row);
  body.append(line);
}

function buildForms(doc) {
  const form = $("document");
  form.replaceChildren(element("datalist", null, { id: "service-names" }));
  state.rows = [];
  state.schema.sections.forEach((section) => {
    form.append(element("h2", section.title[0].toUpperCase() + section.title.slice(1)));
    const body = element("table");
    const head = element("tr");
    if (section.named) head.append(element("th", "name"));
    section.fields.forEach((field) => {
      const cell = element("th", field.name);
      cell.append(element("small", field.help + (field.unit ? " (" + field.unit + ")" : "")));
      head.append(cell);
    });
    body.append(head);
    const box = element("div", null, { className: "scroll" });
    box.append(body);
    form.append(box);
    const values = doc[section.name] || {};
    if (section.named) {
      Object.keys(values).sort().forEach((name) => addRow(section, body, name, values[name]));
      const add = element("button", "Add", { type: "button" });
      add.addEventListener("click", () => { addRow(section, body, "", {}); changed(); });
      form.append(add);
    } else {
      addRow(section, body, "", values);
    }
  });
  changed();
}

// Returns the document that the forms describe, or null after showing what is wrong.
function readForms() {
  const doc = { schema: state.schema.schema };
  state.schema.sections.forEach((section) => { if (section.required) doc[section.name] = {}; });
  for (const row of state.rows) {
    const values = {};
    for (const [name, input] of Object.entries(row.inputs)) {
      const value = input.read();
      if (value !== undefined) values[name] = value;
    }
    if (row.name) {
      if (Object.hasOwn(doc[row.section], row.name.value)) {
        show("bad", ["The name \"" + row.name.value + "\" is used twice in " + row.section + "."]);
        return null;
      }
      doc[row.section][row.name.value] = values;
    } else if (Object.keys(values).length > 0 || (state.doc && state.doc[row.section])) {
      doc[row.section] = values;
    }
  }
  return doc;
}

async function load() {
  if (!state.schema) {
    const schema = await ask("GET", "/v1/schema");
    if (schema.status !== 200) return showError("The schema can't be read", schema.body);
    state.schema = schema.body;
  }
  const config = await ask("GET", "/v1/config");
  if (config.status !== 200) {
    $("version").textContent = "The configuration can't be read: " + config.body.message;
    return;
  }
  state.base = config.body.version;
  state.doc = config.body.document || {};
  state.pending = null;
  $("settle").hidden = true;
  $("version").textContent = state.base === 0 ? "No configuration has been accepted yet."
    : "Editing from version " + state.base + ", accepted by " + config.body.author + " at " + config.body.time
      + " (" + config.body.reason + "). This node has version " + config.body.version_here + " in force.";
  buildForms(state.doc);
  await refresh();
}

async function review() {
  const doc = readForms();
  if (!doc) return;
  const answer = await ask("POST", "/v1/changes", JSON.stringify({ document: doc }));
  if (answer.status !== 200) return showError("Not valid", answer.body);
  if (answer.body.base_version !== state.base) {
    show("bad", ["Another operator was first: version " + answer.body.base_version + " is accepted, these forms start from "
      + state.base + ".", "Discard and read again, then repeat your change."]);
    return;
  }
  if (answer.body.changes.length === 0) return show("wait", ["Nothing is changed."]);
  show("wait", ["This will change:"].concat(answer.body.changes.map((it) => it.text)));
  state.reviewed = doc;
  $("apply").disabled = false;
}

function newIdentity() {
  return Array.from(crypto.getRandomValues(new Uint8Array(16)), (it) => it.toString(16).padStart(2, "0")).join("");
}

async function send(settle) {
  const body = Object.assign({}, state.pending, { settle });
  const headers = { "Content-Type": "application/json", "Authorization": "Bearer " + $("token").value };
  $("apply").disabled = true;
  const answer = await ask("PUT", "/v1/config", JSON.stringify(body), headers);
  // A change that the node did not answer (status 0) may have been accepted too. Once the outcome is unknown,
  // only an accepted change or a conflict settles it; a refused token, for example, does not.
  const unknown = answer.status === 504 || answer.status === 0
    || (settle && answer.status !== 200 && answer.status !== 409);
  $("settle").hidden = !unknown;
  if (answer.status === 200) {
    state.pending = null;
    await load();
    show("good", ["Accepted as version " + answer.body.version + ". It comes into force domain by domain, see above."]);
  } else if (unknown) {
    show("wait", ["Unknown: the answer was lost, the change may or may not have been accepted.", answer.body.message,
      "Ask again for the outcome; it is never applied twice."]);
  } else if (answer.status === 409) {
    show("bad", ["Conflict, nothing was changed. " + answer.body.message, answer.body.remedy]);
  } else {
    showError("Nothing was changed", answer.body);
    $("apply").disabled = false;
  }
}

function apply() {
  if (!$("author").value || !$("reason").value) return show("bad", ["Name the author and the reason."]);
  if (!state.reviewed) return;
  state.pending = { document: state.reviewed, author: $("author").value, reason: $("reason").value,
    base_version: state.base, write_id: newIdentity() };
  send(false);
}

async function refresh() {
  const rollout = await ask("GET", "/v1/rollout");
  if (rollout.status === 200) {
    table("rollout", ["failure domain", "phase", "version in force", "members", "targets"],
      rollout.body.domains.map((it) => [it.domain,
        it.cut_off_since ? "pending, cut off since " + it.cut_off_since : it.phase,
        it.least_version === it.greatest_version ? it.least_version : it.least_version + " to " + it.greatest_version,
        it.members, Object.entries(it.targets).map(([name, n]) => n + " " + name).join(", ")]));
  } else {
    table("rollout", ["not known: " + rollout.body.message], []);
  }
  const audit = await ask("GET", "/v1/audit?limit=20");
  if (audit.status === 200) {
    table("audit", ["version", "time", "author", "reason"],
      audit.body.changes.map((it) => [it.version, it.time, it.author, it.reason]));
  }
}

$("review").addEventListener("click", review);
$("apply").addEventListener("click", apply);
$("settle").addEventListener("click", () => send(true));
$("reload").addEventListener("click", () => { $("result").hidden = true; load(); });
load();
setInterval(refresh, 3000);
</script>
</body>
</html>
)page";

} // namespace baobabswitch
