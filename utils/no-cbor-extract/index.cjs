module.exports = null;
