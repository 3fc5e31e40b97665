(() => {
  const filter = document.getElementById("filter");
  const chips = [...document.querySelectorAll(".chip input")];
  const rows = [...document.querySelectorAll("tbody tr")];
  const texts = rows.map((row) => row.textContent.toLowerCase());
  const marks = new Map();
  document.querySelectorAll(".mark").forEach((mark) => marks.set(+mark.dataset.event, mark));

  function wanted(text, words) {
    return words.every((word) => (word.startsWith("-") && word.length > 1 ? !text.includes(word.slice(1)) : text.includes(word)));
  }

  function apply() {
    const words = filter.value.toLowerCase().split(/\s+/).filter(Boolean);
    const areas = new Set(chips.filter((chip) => chip.checked).map((chip) => chip.value));
    let shown = 0;
    rows.forEach((row, index) => {
      const visible = areas.has(row.dataset.area) && wanted(texts[index], words);
      row.classList.toggle("hidden", !visible);
      const mark = marks.get(index);
      if (mark) mark.classList.toggle("hidden", !visible);
      if (visible) shown += 1;
    });
    document.getElementById("shown").textContent = shown + " of " + rows.length + " shown";
  }

  filter.addEventListener("input", apply);
  chips.forEach((chip) => chip.addEventListener("change", apply));
  document.querySelector(".filters button").addEventListener("click", () => {
    filter.value = "";
    chips.forEach((chip) => { chip.checked = true; });
    apply();
  });
  rows.forEach((row, index) => {
    row.addEventListener("mouseenter", () => marks.get(index)?.classList.add("hot"));
    row.addEventListener("mouseleave", () => marks.get(index)?.classList.remove("hot"));
  });
  apply();
})();
